"""Implementation of hibiscusdrum; nothing in this package is a stable interface."""

import warnings

# circuits 3.2.5 imports pkg_resources, whose deprecation warning would be a log line that is not JSON.
warnings.filterwarnings("ignore", message="pkg_resources is deprecated", category=UserWarning)
