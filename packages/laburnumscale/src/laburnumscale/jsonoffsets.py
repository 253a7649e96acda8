"""JSON offsets.

Finds the offsets of keys and of array elements in a JSON text with comments.
"""

import functools
import json
import re
from collections.abc import Mapping

__all__ = ["json_element_offsets", "json_key_offsets"]

TOKEN_PATTERN = re.compile(
    r'"(?:[^"\\]|\\.)*"|//[^\n]*|/\*.*?\*/|[{}\[\]:,]', re.DOTALL
)


# The location of each place of a file is asked for, and finding the offsets anew took
# 10 ms for each of 2,000 accounts.
@functools.lru_cache(maxsize=1)
def json_key_offsets(text: str) -> Mapping[tuple[str, ...], int]:
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


@functools.lru_cache(maxsize=1)
def json_element_offsets(text: str) -> Mapping[str, list[int]]:
    """Return the offsets of the elements of each array in the outermost object.

    The offset of an element that is not an object is that of the end of the token
    before it.

    :param text: a valid JSON text with comments; it is not validated here.
    """
    offsets: dict[str, list[int]] = {}
    opened: list[str] = []
    key = last_string = ""
    for match in TOKEN_PATTERN.finditer(text):
        token = match[0]
        is_in_array = opened == ["{", "["]
        if token.startswith('"'):
            last_string = token
        elif token == ":" and opened == ["{"]:
            key = json.loads(last_string)
        elif token == "," and is_in_array:
            offsets[key].append(match.end())
        elif token in ("{", "["):
            if token == "[" and opened == ["{"]:
                offsets[key] = [match.end()]
            elif token == "{" and is_in_array:
                offsets[key][-1] = match.start()
            opened.append(token)
        elif token in ("}", "]"):
            opened.pop()
    return offsets
