# Sourced by the run.sh of a case: run_case PROGRAM runs its stand-in beside the built router.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
run_case() {
    local case_folder top folder status
    case_folder=$(cd "$(dirname "$0")" && pwd)
    top=$(cd "$case_folder/../.." && pwd)
    [ -x "$top/target/fulmaryard" ] && [ -x "$top/review/build/$1" ] || exit 2
    folder=$(mktemp -d)
    trap 'rm -rf "$folder"' EXIT
    cd "$top" || exit 2
    timeout -k 1 110 "review/build/$1" target/fulmaryard deploy/router.yaml.template "$folder" \
        "$case_folder/record.txt" "${TROUBLE:-1}"
    status=$?
    [ "$status" -le 1 ] || status=2
    exit "$status"
}
