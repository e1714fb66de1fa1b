# Installs the libraries and this repository's packages under target/deps, which the
# platform puts on the path of Python.
set -e
deps=target/deps
if [ ! "$deps/.installed" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q -U --target "$deps" -c constraints.txt \
        -r deploy/requirements.txt
    touch "$deps/.installed"
fi
for package in core:bluebellusher_core entry:bluebellusher agent:bluebellusher_agent; do
    directory=packages/${package%%:*}/src
    name=${package##*:}
    rm -rf "$deps/$name"
    cp -r "$directory/$name" "$deps/$name"
done
# The bytecode is written here because the programs cannot write to their directory.
python3 -m compileall -q "$deps/bluebellusher" "$deps/bluebellusher_core" \
    "$deps/bluebellusher_agent"
