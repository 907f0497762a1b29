package sqlclass

func wordSet(words ...string) map[string]struct{} {
	set := make(map[string]struct{}, len(words))
	for _, w := range words {
		set[w] = struct{}{}
	}
	return set
}

// writeWords holds the words that rule out a read wherever they occur outside
// quotes, even where they are only a column name.
var writeWords = wordSet(
	"alter", "analyze", "analyse", "call", "checkpoint", "cluster", "comment",
	"copy", "create", "deallocate", "declare", "delete", "discard", "do",
	"drop", "execute", "explain", "grant", "import", "insert", "into",
	"listen", "load", "lock", "merge", "move", "nextval", "notify", "prepare",
	"reassign", "refresh", "reindex", "reset", "revoke", "security", "setval",
	"share", "truncate", "unlisten", "update", "vacuum",
)

// readFunctions holds the functions of pg_catalog that are known to change nothing.
var readFunctions = wordSet(
	"abs", "age", "array_agg", "array_length", "array_position", "array_to_string",
	"avg", "bool_and", "bool_or", "btrim", "cardinality", "ceil", "ceiling",
	"char_length", "chr", "clock_timestamp", "coalesce", "concat", "concat_ws", "count",
	"cume_dist", "current_database", "current_schema", "current_schemas",
	"current_setting", "date_part", "date_trunc", "dense_rank", "every", "exp",
	"extract", "first_value", "floor", "format", "format_type", "generate_series",
	"greatest", "initcap", "json_agg", "json_build_object", "jsonb_agg",
	"jsonb_build_object", "lag", "last_value", "lead", "least", "left", "length", "ln",
	"log", "lower", "lpad", "ltrim", "make_date", "max", "md5", "min", "mod", "now",
	"nth_value", "ntile", "nullif", "obj_description", "octet_length", "overlay",
	"percent_rank", "pg_encoding_to_char", "pg_get_constraintdef", "pg_get_expr",
	"pg_get_indexdef", "pg_get_userbyid", "pg_get_viewdef", "pg_is_in_recovery",
	"pg_last_wal_replay_lsn", "pg_postmaster_start_time", "pg_relation_size",
	"pg_size_pretty", "pg_table_is_visible", "pg_table_size", "pg_type_is_visible",
	"position", "power", "quote_ident", "quote_literal", "rank", "regexp_matches",
	"regexp_replace", "repeat", "replace", "reverse", "right", "round", "row_number",
	"row_to_json", "rpad", "rtrim", "sign", "split_part", "sqrt", "statement_timestamp",
	"string_agg", "string_to_array", "strpos", "substr", "substring", "sum",
	"to_char", "to_date", "to_json", "to_jsonb", "to_number", "to_timestamp",
	"transaction_timestamp", "translate", "trim", "trunc", "unnest", "upper", "version",
)

// nonFunctionWords holds the keywords and types that may precede an opening
// parenthesis without calling a function.
var nonFunctionWords = wordSet(
	"all", "and", "any", "array", "as", "between", "bit", "bpchar", "by", "case",
	"cast", "char", "character", "cube", "dec", "decimal", "distinct", "else",
	"except", "exists", "filter", "float", "from", "group", "grouping", "having",
	"in", "intersect", "interval", "is", "join", "lateral", "like", "limit",
	"materialized", "not", "numeric", "offset", "on", "operator", "or", "over", "partition",
	"precision", "rollup", "row", "select", "sets", "some", "then", "time",
	"timestamp", "timestamptz", "timetz", "union", "using", "values", "varbit",
	"varchar", "varying", "when", "where", "with", "within",
)

// sessionLockFunctions holds the advisory lock functions whose effect on the
// connection outlives the transaction.
var sessionLockFunctions = wordSet(
	"pg_advisory_lock", "pg_advisory_lock_shared",
	"pg_try_advisory_lock", "pg_try_advisory_lock_shared",
	"pg_advisory_unlock", "pg_advisory_unlock_shared", "pg_advisory_unlock_all",
)

func contains(set map[string]struct{}, word string) bool {
	_, ok := set[word]
	return ok
}
