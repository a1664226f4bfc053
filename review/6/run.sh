#!/bin/sh
# Case 6: a planned stop cuts streams that the gateway accepted. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review-2/standin" ] || exit 2
exec "$root/target/review-2/standin" stop "$root" "$here/record.txt"
