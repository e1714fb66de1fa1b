"""Rules texts as they travel between entries."""

import base64
import binascii
import zlib

# No rules text begins like this: each of its lines is a rule, a comment or blank.
_PREFIX = "zlib:"
_MAX_TEXT_BYTES = 16 * 1024 * 1024


def pack_text(rules_text: str) -> str:
    """Compress a text; rules repeat themselves, and 1,600 nodes receive each change."""
    data = zlib.compress(rules_text.encode())
    return _PREFIX + base64.b64encode(data).decode()


def unpack_text(packed: str) -> str:
    """Return the text; one that cannot be read becomes a text with an error."""
    if not packed.startswith(_PREFIX):
        return packed
    try:
        data = base64.b64decode(packed.removeprefix(_PREFIX), validate=True)
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(data, _MAX_TEXT_BYTES)
        return text.decode() if unpacker.eof else packed
    except (binascii.Error, UnicodeDecodeError, zlib.error):
        return packed
