"""JSON offsets.

Finds the offset of each key in a JSON text with comments.
"""

import json
import re

__all__ = ["json_key_offsets"]

TOKEN_PATTERN = re.compile(
    r'"(?:[^"\\]|\\.)*"|//[^\n]*|/\*.*?\*/|[{}\[\]:,]', re.DOTALL
)


def json_key_offsets(text: str) -> dict[tuple[str, ...], int]:
    """Return the offset in characters of each key, by its path of keys.

    Array elements add nothing to the path: a key in an object in an array follows the
    path of the array. If a path occurs more than once, its first offset is returned.

    :param text: a valid JSON text with comments; it is not validated here.
    """
    offsets: dict[tuple[str, ...], int] = {}
    path: list[str] = []
    depths: list[int] = []
    last_string = ""
    last_string_offset = 0
    for match in TOKEN_PATTERN.finditer(text):
        token = match[0]
        if token.startswith('"'):
            last_string, last_string_offset = token, match.start()
        elif token == ":":
            path = [*path[: depths[-1]], json.loads(last_string)]
            offsets.setdefault(tuple(path), last_string_offset)
        elif token in ("{", "["):
            depths.append(len(path))
        elif token in ("}", "]"):
            path = path[: depths.pop()]
    return offsets
