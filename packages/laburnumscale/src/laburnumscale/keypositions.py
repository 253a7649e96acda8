"""Key positions.

Finds where each key of a JSON text with comments stands.
"""

import json
import re

__all__ = ["key_positions"]

TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|//[^\n]*|/\*.*?\*/|[{}\[\]:,]', re.DOTALL)


def key_positions(text: str) -> dict[tuple[str, ...], int]:
    """Return the offset of each key, by the keys that lead to it.

    The elements of arrays have the keys of the array.

    :param text: a text that has been parsed without an error.
    """
    positions: dict[tuple[str, ...], int] = {}
    path: list[str] = []
    depths: list[int] = []
    last = ""
    last_offset = 0
    for match in TOKEN.finditer(text):
        token = match[0]
        if token.startswith('"'):
            last, last_offset = token, match.start()
        elif token == ":":
            path = [*path[: depths[-1]], json.loads(last)]
            positions.setdefault(tuple(path), last_offset)
        elif token in ("{", "["):
            depths.append(len(path))
        elif token in ("}", "]"):
            path = path[: depths.pop()]
    return positions
