"""The part of a streamed answer that a caller already has.

A caller that reads an answer while it is made can't give a part back. When a
second attempt takes over, its answer must begin with what was delivered;
otherwise the caller would hold the start of one answer and the end of
another.
"""

from mintcleat.domain import errors


class Delivery:
    """Joins the answers of successive attempts into one stream.

    Attributes:
        streamed: Whether the caller reads parts; if not, nothing is kept.
        seen: Characters received from the current attempt.
        length: Characters delivered to the caller.
    """

    def __init__(self, streamed: bool) -> None:
        self.streamed = streamed
        self.seen = 0
        self.length = 0
        self.parts: list[str] = []

    def restart(self) -> None:
        """Begins the answer of another attempt, or the same one again."""
        self.seen = 0

    def add(self, offset: int, text: str) -> str:
        """Takes a part and returns what of it is new to the caller.

        Raises:
            errors.StreamClosed: Characters before `offset` are missing.
            errors.UpstreamFailed: It differs from what was delivered.
        """
        if offset > self.seen:
            raise errors.StreamClosed("A part of the answer is missing.")
        text = text[self.seen - offset :]
        start = self.seen
        self.seen += len(text)
        if not self.streamed or not text:
            return ""
        overlap = self.length - start
        if overlap > 0:
            self._check_same(start, text[:overlap])
            text = text[overlap:]
        if text:
            self.parts.append(text)
            self.length += len(text)
        return text

    def _check_same(self, start: int, text: str) -> None:
        delivered = "".join(self.parts)
        self.parts = [delivered]
        if delivered[start : start + len(text)] != text:
            raise errors.UpstreamFailed(
                "The upstream was lost and its successor's answer differs.",
                remedy="Send the same request with the same key again: "
                "it gets the whole recorded answer.",
            )
