"""Settings files.

Parses JSON with comments and finds the line of each setting.
"""

import json
from pathlib import Path

import attrs
import jsonc

from laburnumscale.errors import FileSyntaxInvalid, FileUnreadable
from laburnumscale.jsonoffsets import json_element_offsets, json_key_offsets

__all__ = ["SettingsFile", "read_settings_file"]


@attrs.frozen
class SettingsFile:
    """A parsed settings file.

    :ivar path: path of the file.
    :ivar text: content of the file.
    :ivar value: parsed content, a JSON object.
    """

    path: str
    text: str
    value: dict

    def location(self, *keys: str) -> str:
        """Return ``file:line`` of a setting, for error messages.

        :param keys: keys of the nested objects that lead to the setting. The last one
            may also be a string in the value of the key before it.
        """
        offsets = json_key_offsets(self.text)
        offset = 0
        for count in range(1, len(keys) + 1):
            found_offset = offsets.get(keys[:count], -1)
            if found_offset < 0:
                found_offset = self.text.find(json.dumps(keys[count - 1]), offset)
                offset = max(offset, found_offset)
                break
            offset = found_offset
        return self._format(offset)

    def element_location(self, key: str, index: int) -> str:
        """Return ``file:line`` of an element of an array in the outermost object."""
        return self._format(json_element_offsets(self.text)[key][index])

    def _format(self, offset: int) -> str:
        line = self.text.count("\n", 0, offset) + 1
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
        raise FileSyntaxInvalid(path, 1, "the content is not a JSON object")
    return SettingsFile(path, text, value)
