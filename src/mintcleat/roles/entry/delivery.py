"""Deduplicates a streamed answer over several attempts.

Text that was sent to the caller can't be taken back. The answer of a later
attempt must therefore begin with the text already delivered, and be made by the
same software; otherwise the caller would get the start of one answer and the
end of another.
"""

from mintcleat.domain import errors


class Delivery:
    """Joins the answers of successive attempts into one stream.

    Attributes:
        streamed: Whether the caller reads a stream; if not, no text is kept.
        seen: Characters received from the current attempt.
        length: Characters delivered to the caller.
        software: Version of the software that made them; empty if not stated.
    """

    def __init__(self, streamed: bool) -> None:
        self.streamed = streamed
        self.seen = 0
        self.length = 0
        self.software = ""
        self.parts: list[str] = []

    def restart(self) -> None:
        """Starts again at the first character, for another stream."""
        self.seen = 0

    def add(self, offset: int, text: str, software: str) -> str:
        """Adds a part of an answer; returns its text not yet delivered.

        Args:
            offset: Position of the part in the answer, in characters.
            text: Text of the part.
            software: Version of the software that made it; empty if not known.

        Raises:
            errors.OtherSoftware: The delivered text was made by other software.
            errors.StreamClosed: Characters before `offset` are missing.
            errors.UpstreamFailed: The text differs from the delivered text.
        """
        if offset > self.seen:
            raise errors.StreamClosed(
                f"Expected the answer's part at character {self.seen}, "
                f"received the one at {offset}."
            )
        text = text[self.seen - offset :]
        start = self.seen
        self.seen += len(text)
        if not self.streamed or not text:
            return ""
        self._check_software(software)
        overlap = self.length - start
        if overlap > 0:
            self._check_same(start, text[:overlap])
            text = text[overlap:]
        if text:
            self.parts.append(text)
            self.length += len(text)
        return text

    def _check_software(self, software: str) -> None:
        if not self.length:
            self.software = software
        if software != self.software:
            raise errors.OtherSoftware(
                f"The text already delivered was made by software "
                f"{self.software!r}, and the rest by {software!r}."
            )

    def _check_same(self, start: int, text: str) -> None:
        delivered = "".join(self.parts)
        self.parts = [delivered]
        if delivered[start : start + len(text)] != text:
            raise errors.UpstreamFailed(
                "The upstream was lost, and the next upstream's answer differs "
                "from the text already delivered.",
                remedy="Send the same request with the same key again: "
                "it gets the whole recorded answer.",
            )
