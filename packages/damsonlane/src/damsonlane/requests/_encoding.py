"""JSON encoding of answers, for the ledger and for callers."""

from damsonlane.codec import decode_bytes, encode_text
from damsonlane.requests._models import Answer


def encode_answer(answer: Answer) -> str:
    """Encode an answer as JSON."""
    return encode_text(answer, Answer)


def decode_answer(text: str) -> Answer:
    """Decode an answer from JSON."""
    return decode_bytes(text, Answer)
