"""Settings files.

Reads JSON with comments and tells the line on which a setting stands.
"""

import json
from pathlib import Path

import attrs
import jsonc

from laburnumscale.errors import FileSyntaxInvalid, FileUnreadable
from laburnumscale.keypositions import key_positions

__all__ = ["SettingsFile", "read_settings_file"]


@attrs.frozen
class SettingsFile:
    """A parsed settings file.

    :ivar path: where it was read.
    :ivar text: its content.
    :ivar value: the parsed content.
    """

    path: str
    text: str
    value: dict

    def where(self, *keys: str) -> str:
        """Return ``file:line`` of the setting that is reached by ``keys``.

        The last key may also be a text in the value of the one before it.
        """
        positions = key_positions(self.text)
        position = 0
        for count in range(1, len(keys) + 1):
            found = positions.get(keys[:count], -1)
            if found < 0:
                found = self.text.find(json.dumps(keys[count - 1]), position)
                position = max(position, found)
                break
            position = found
        line = self.text.count("\n", 0, position) + 1
        return f"{self.path}:{line}"


def read_settings_file(path: str) -> SettingsFile:
    """Read a file whose content is one JSON object with comments.

    :raises FileUnreadable: the file cannot be opened or is not UTF-8.
    :raises FileSyntaxInvalid: the content is not JSON with comments.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FileUnreadable(path, str(error)) from error
    try:
        value = jsonc.loads(text)
    except ValueError as error:
        line = getattr(error, "lineno", 1)
        raise FileSyntaxInvalid(path, line, str(error)) from error
    if not isinstance(value, dict):
        raise FileSyntaxInvalid(path, 1, "the content is not an object")
    return SettingsFile(path, text, value)
