"""Answers as text, for the ledger and for callers."""

from damsonlane.codec import decode_bytes, encode_text
from damsonlane.requests._models import Answer


def encode_answer(answer: Answer) -> str:
    """Return an answer as JSON text."""
    return encode_text(answer, Answer)


def decode_answer(text: str) -> Answer:
    """Return the answer in JSON text."""
    return decode_bytes(text, Answer)
