"""Compression of rules texts in messages between entries."""

import base64
import binascii
import zlib

# Marks a compressed text. No rules text starts with this prefix, because each of its
# lines is a rule, a comment or blank.
_COMPRESSED_PREFIX = "zlib:"
# Limit for the uncompressed text, against messages that expand without bound.
_MAX_TEXT_BYTES = 16 * 1024 * 1024


def compress_text(rules_text: str) -> str:
    """Return the compressed rules text.

    Rules are repetitive and compress well, and in a deployment of 1,600 nodes each
    change is sent to all of them.
    """
    data = zlib.compress(rules_text.encode())
    return _COMPRESSED_PREFIX + base64.b64encode(data).decode()


def decompress_text(received_text: str) -> str:
    """Return the rules text of a compressed or plain text.

    A compressed text that cannot be decoded is returned unchanged. It starts with the
    prefix and is therefore reported as an error when the rules are parsed.
    """
    if not received_text.startswith(_COMPRESSED_PREFIX):
        return received_text
    try:
        data = base64.b64decode(
            received_text.removeprefix(_COMPRESSED_PREFIX), validate=True
        )
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(data, _MAX_TEXT_BYTES)
        return text.decode() if decompressor.eof else received_text
    except (binascii.Error, UnicodeDecodeError, zlib.error):
        return received_text
