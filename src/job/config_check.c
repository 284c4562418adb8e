/*
 * config_check - checks a document of the operators before it is sent
 */
#include "job/config_check.h"

#include <assert.h>
#include <string.h>

/* Where the entries of a configuration were in their document. */
struct positions {
	TALLOC_CTX *ctx;
	uint32_t counts[CONFIG_LISTS];
	uint32_t *of[CONFIG_LISTS];
};

struct loading {
	struct check_report *report;
	struct positions positions;
};

const char *lint_severity_name(enum lint_severity severity)
{
	static const char *const names[LINT_SEVERITIES] = {
		[LINT_ERROR] = "error",
		[LINT_WARNING] = "warning",
		[LINT_INFO] = "info",
	};

	return names[severity];
}

static struct check_finding *add(struct check_report *r,
				 enum lint_severity severity, const char *code)
{
	struct check_finding *f;

	/* Grows by doubling: when the count is 0 or a power of 2. */
	if (!(r->count & (r->count - 1))) {
		r->findings =
			talloc_realloc(r, r->findings, struct check_finding,
				       r->count ? r->count * 2 : 1);
		assert(r->findings);
	}
	f = &r->findings[r->count++];
	*f = (struct check_finding){ .severity = severity, .code = code };
	r->counts[severity]++;
	return f;
}

/* What the decoder does not load as it is written */

static void on_loaded(void *arg, enum config_list list, uint32_t position)
{
	struct loading *l = arg;
	struct positions *p = &l->positions;
	uint32_t n = p->counts[list];

	if (!(n & (n - 1))) {
		p->of[list] = talloc_realloc(p->ctx, p->of[list], uint32_t,
					     n ? n * 2 : 1);
		assert(p->of[list]);
	}
	p->of[list][p->counts[list]++] = position;
}

static void on_problem(void *arg, const struct config_problem *p)
{
	static const struct {
		enum lint_severity severity;
		const char *code;
		const char *effect;
	} kinds[] = {
		[CONFIG_REFUSED] = { LINT_ERROR, "refused",
				     "nodes refuse the document" },
		[CONFIG_ENTRY_IGNORED] = { LINT_ERROR, "entry-ignored",
					   "nodes ignore the entry" },
		[CONFIG_VALUE_CHANGED] = { LINT_ERROR, "value-ignored",
					   "nodes load another value" },
		[CONFIG_UNKNOWN_FIELD] = { LINT_WARNING, "unknown-field",
					   "nodes do not know this field" },
	};
	struct loading *l = arg;
	struct check_report *r = l->report;
	struct check_finding *f =
		add(r, kinds[p->kind].severity, kinds[p->kind].code);
	const char *effect = kinds[p->kind].effect;

	f->path = talloc_strdup(r, p->path);
	f->line = p->line;
	if (p->line)
		f->text = talloc_asprintf(r, "%s: %s", effect, p->wanted);
	else if (!*p->wanted)
		f->text = effect;
	else
		f->text = talloc_asprintf(r, "%s: is %s, wanted %s", effect,
					  *p->value ? p->value : "missing",
					  p->wanted);
	assert(f->path && f->text);
	/* Only errors of syntax have a line and refuse the document. */
	if (p->kind == CONFIG_REFUSED && p->line)
		r->readable = false;
}

/* Paths */

static enum config_list list_of(enum config_field field)
{
	if (field >= CONFIG_FIELD_WORKSPACE)
		return CONFIG_WORKSPACES;
	return field >= CONFIG_FIELD_POOL ? CONFIG_POOLS : CONFIG_QUEUES;
}

static uint32_t position_of(const struct positions *p,
			    const struct lint_finding *f)
{
	enum config_list list = list_of(f->field);

	return f->index < p->counts[list] ? p->of[list][f->index] : f->index;
}

static void add_lint(struct check_report *r,
		     const struct config_document *document,
		     const struct lint_report *lint,
		     const struct positions *own,
		     const struct positions *in_force)
{
	uint32_t i;

	for (i = 0; i < lint->count; i++) {
		const struct lint_finding *from = &lint->findings[i];
		struct check_finding *f = add(r, from->severity, from->code);

		f->in_force = from->in_force;
		f->text = from->text;
		f->path = document->path(
			r, from->field,
			position_of(from->in_force ? in_force : own, from));
		assert(f->path);
	}
}

struct check_report *config_check(TALLOC_CTX *ctx,
				  const struct config_document *document,
				  const struct check_input *input,
				  const struct check_input *in_force,
				  const struct lint_facts *facts,
				  bool *in_force_loaded)
{
	struct check_report *r = talloc_zero(ctx, struct check_report);
	struct loading own = { .report = r, .positions.ctx = r };
	struct loading other = { .positions.ctx = r };
	const struct config_observer observer = { .kinds = CONFIG_PROBLEMS_ALL,
						  .problem = on_problem,
						  .loaded = on_loaded,
						  .arg = &own };
	const struct config_observer other_observer = { .loaded = on_loaded,
							.arg = &other };
	struct config *other_config = NULL;
	struct lint_report *lint;

	assert(r);
	r->readable = true;
	r->config = document->decode(r, input->bytes, input->length, &observer);
	if (in_force->bytes)
		other_config = document->decode(
			r, in_force->bytes, in_force->length, &other_observer);
	if (in_force_loaded)
		*in_force_loaded = other_config != NULL;
	if (!r->config)
		return r;
	lint = config_lint(r, r->config, other_config, facts);
	add_lint(r, document, lint, &own.positions, &other.positions);
	r->operations = lint->operations;
	return r;
}
