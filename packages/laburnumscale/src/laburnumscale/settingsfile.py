"""Settings files.

Reads JSON with comments and tells the line on which a setting stands.
"""

import json
from pathlib import Path

import attrs
import jsonc

from laburnumscale.errors import FileSyntaxInvalid, FileUnreadable

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
        """Return ``file:line`` of the setting that is reached by ``keys``."""
        position = 0
        for key in keys:
            found = self.text.find(json.dumps(key), position)
            if found < 0:
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
