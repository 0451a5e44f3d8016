"""Encoding of large bytes in msgpack without a copy of them."""


def header(size: int) -> bytes:
    """Returns what precedes bytes of this size, by msgpack's specification."""
    if size < 1 << 8:
        return b"\xc4" + size.to_bytes(1, "big")
    if size < 1 << 16:
        return b"\xc5" + size.to_bytes(2, "big")
    return b"\xc6" + size.to_bytes(4, "big")
