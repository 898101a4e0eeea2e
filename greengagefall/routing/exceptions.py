"""Errors of the routing configuration."""

from __future__ import annotations


class RoutingError(Exception):
    """Base class of the errors of this package."""


class ConfigError(RoutingError):
    """A configuration document breaks a rule.

    Attributes:
        path: Dotted path of the invalid field; empty for the document itself.
        reason: The value found and what was expected.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path or 'document'}: {reason}")
        self.path = path
        self.reason = reason


class StalePatchError(RoutingError):
    """A patch was made against a version that is not the current one.

    Attributes:
        base_version: Version that the patch was made against.
        current_version: The current version.
    """

    def __init__(self, base_version: int, current_version: int) -> None:
        super().__init__(
            f"the patch is against version {base_version}, the current version is {current_version}"
        )
        self.base_version = base_version
        self.current_version = current_version


class RegistryUnavailableError(RoutingError):
    """The store could not be reached; the configuration is unchanged."""


class RegistryRefusedError(RoutingError):
    """The store rejected the write of a version as invalid, for example as too large."""


class PatchOutcomeUnknownError(RoutingError):
    """It is unknown whether the store accepted a patch.

    Attributes:
        patch_id: Id of the patch; proposing the patch again with this id is safe.
        base_version: Version that the patch was made against.
    """

    def __init__(self, patch_id: str, base_version: int, reason: str) -> None:
        super().__init__(
            f"it is unknown whether patch {patch_id} against version {base_version} "
            f"was accepted ({reason}); propose it again with the same id"
        )
        self.patch_id = patch_id
        self.base_version = base_version


class ConfigRecordError(RoutingError):
    """A configuration record in the store is invalid.

    Attributes:
        key: Key of the record.
        reason: What is wrong with it.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"record {key}: {reason}")
        self.key = key
        self.reason = reason
