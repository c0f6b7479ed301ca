"""Starts a sablemount process on the users' platform, from a source tree."""

import sys

from sablemount.platform.main import main

sys.exit(main())
