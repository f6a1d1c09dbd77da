"""Functions of the stages, as stand-ins run them on a text."""

import re
from typing import Final

#: Passages in which `retrieve` searches.
PASSAGES: Final = (
    "A chargeback must be answered within the days that the card scheme allows.",
    "A statement line shows the day of settlement, not the day of sale.",
    "A refund is confirmed to the terminal before the customer leaves.",
    "A filing is accepted once the court has stamped every page.",
    "A subtitle line holds at most two rows of text.",
    "A hearing starts at the hour that the registry announced.",
)

_WORD: Final = re.compile(r"\w+")
#: Separates a question from its passages.
_SEPARATOR: Final = "\n---\n"


def encode(text: str) -> str:
    """Return the text with white space normalized."""
    return " ".join(text.split())


def retrieve(text: str) -> str:
    """Return the text followed by the passages that share a word with it."""
    words = _words(text)
    found = [passage for passage in PASSAGES if words & _words(passage)]
    return text + _SEPARATOR + "\n".join(found)


def rerank(text: str) -> str:
    """Return the text with its passages sorted by the number of shared words."""
    question, _, passages = text.partition(_SEPARATOR)
    words = _words(question)
    ranked = sorted(passages.splitlines(), key=lambda line: -len(words & _words(line)))
    return question + _SEPARATOR + "\n".join(ranked)


def generate(text: str) -> list[str]:
    """Return the tokens of an answer that quotes the question and its first passage."""
    question, _, passages = text.partition(_SEPARATOR)
    best = (passages.splitlines() or ["Nothing was found."])[0]
    answer = f"On '{question[:60]}': {best}"
    return re.findall(r"\S+\s*", answer)


def _words(text: str) -> set[str]:
    return {word.lower() for word in _WORD.findall(text) if len(word) > 3}
