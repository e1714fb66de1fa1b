# Installs the libraries and this repository's packages into target/deps, which the
# platform adds to Python's path.
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
# Compile the bytecode during the build, because the running programs cannot write to
# this directory.
python3 -m compileall -q "$deps/bluebellusher" "$deps/bluebellusher_core" \
    "$deps/bluebellusher_agent"
