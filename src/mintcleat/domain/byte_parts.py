"""Contents in parts, which aren't joined where they are large."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence


def coalesced(parts: Iterable[bytes], size: int) -> Iterator[bytes]:
    """Yields parts, small ones joined.

    Args:
        parts: The parts.
        size: Bytes up to which they are joined. A larger part is yielded as it
            is, without a copy.
    """
    small: list[bytes] = []
    held = 0
    for part in parts:
        if held and held + len(part) > size:
            yield b"".join(small)
            small, held = [], 0
        if len(part) > size:
            yield part
        else:
            small.append(part)
            held += len(part)
    if small:
        yield b"".join(small)


def pieces(
    contents: Iterable[bytes], offset: int, size: int
) -> Iterator[bytes]:
    """Yields contents as pieces of one size; copies a piece at a time.

    Args:
        contents: The contents, which follow one another.
        offset: Bytes to leave out at the beginning.
        size: Bytes of each piece but the last.
    """
    small: list[bytes] = []
    held = 0
    for content in contents:
        start = min(offset, len(content))
        offset -= start
        while start < len(content):
            part = content[start : start + size - held]
            start += len(part)
            held += len(part)
            small.append(part)
            if held == size:
                yield b"".join(small)
                small, held = [], 0
    if small:
        yield b"".join(small)


def split(
    parts: list[bytes], sizes: Sequence[int]
) -> Iterator[tuple[bytes, ...]]:
    """Yields the parts of each size; takes them off the list."""
    parts.reverse()
    for size in sizes:
        found = []
        left = size
        while left:
            part = parts.pop()
            if len(part) > left:
                parts.append(part[left:])
                part = part[:left]
            found.append(part)
            left -= len(part)
        yield tuple(found)
