"""Messages survive encoding; invalid bytes from a peer are a typed error."""

import msgpack
import testtools
from testtools import matchers

from mintcleat.domain import call_messages
from mintcleat.domain import codec
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages


class CodecTest(testtools.TestCase):
    def test_nested_message_survives_encoding(self) -> None:
        turn = identities.Turn(1, ['{"role":"user"}'], b"d" * 16)
        history = program_messages.History("p-1", [turn])
        decoded = codec.decode(codec.encode(history))
        self.assertThat(decoded, matchers.Equals(history))

    def test_unknown_tag_is_refused(self) -> None:
        data = msgpack.packb([9999, 1])
        self.assertRaises(errors.BadRequest, codec.decode, data)

    def test_wrong_field_type_is_refused(self) -> None:
        data = codec.encode(call_messages.AttemptState("one", "never"))
        self.assertRaises(errors.BadRequest, codec.decode, data)

    def test_truncated_bytes_are_refused(self) -> None:
        data = codec.encode(program_messages.ShowProgram("p-1"))[:-2]
        self.assertRaises(errors.BadRequest, codec.decode, data)
