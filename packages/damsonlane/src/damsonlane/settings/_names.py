"""Types of names and addresses in settings."""

from typing import Annotated

from pydantic import Field

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$")]
