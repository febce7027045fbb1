package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"pollenscale/core/config"
	"pollenscale/core/policy"
	"pollenscale/io/tablestore"
)

const (
	defaultTimeout = 30 * time.Second
	// platformEnv is the environment variable with the default of --platform.
	platformEnv = "POLLENSCALE_PLATFORM"
	// shownDigestChars is the number of leading characters of a digest in tables.
	shownDigestChars = 12
)

// Limits of one command's requests to the platform: rate per second and burst.
// A rollback reads a few rows for each 64 versions.
const (
	commandRate  = 20
	commandBurst = 40
)

func newConfig() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Check, publish and show the configuration",
		Long: `The configuration is declared in a directory of JSON files:

  templates/NAME.json      a service with parameters such as "${Timeout}"
  services/NAME.json       a service: its template and parameters
  organisations/NAME.json  an organisation: its services and parameters`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newCheck(), newPublish(), newShow())
	return c
}

func newCheck() *cobra.Command {
	c := &cobra.Command{
		Use:   "check DIRECTORY",
		Short: "Check declarations and show the rendered result",
		Long: `Checks the declarations without contacting the platform, and shows the rendered
policy. Errors are reported with file, line and column, and lead to exit code 2.`,
		Example: "  pollenscale config check deploy/puente/config\n  pollenscale config check --output json deploy/puente/config",
		Args:    cobra.ExactArgs(1),
	}
	output := outputFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		docs, err := config.ReadDir(os.DirFS(args[0]))
		if err != nil {
			return err
		}
		set, err := config.Render(0, docs)
		if err != nil {
			return err
		}
		return asFailure(output.print(c.OutOrStdout(), set, func(w io.Writer) { writeServices(w, set) }))
	}
	return c
}

func writeServices(w io.Writer, set *policy.Set) {
	writeRow(w, "SERVICE", "RANK", "WORTH", "TIMEOUT", "FLOOR", "DEFAULT")
	names := slices.Sorted(maps.Keys(set.Services))
	for _, name := range names {
		s := set.Services[name]
		for _, r := range s.Ranks {
			isDefault := ""
			if r.Name == s.DefaultRank {
				isDefault = "yes"
			}
			writeRow(w, name, r.Name, r.Worth, r.Timeout.Duration(), r.Floor, isDefault)
		}
	}
	writeRow(w)
	writeRow(w, "SERVICE", "METHOD", "PATH", "RANK", "IDEMPOTENT", "KEYS", "DEFERRABLE")
	for _, name := range names {
		for _, r := range set.Services[name].Routes {
			writeRow(w, name, r.Method, r.PathPrefix, r.Rank, r.Idempotent, r.KeyRule, r.Deferrable)
		}
	}
	writeRow(w)
	writeRow(w, "SERVICE", "ORGANISATION", "SHARE")
	for _, name := range names {
		for _, o := range slices.Sorted(maps.Keys(set.Services[name].Organisations)) {
			writeRow(w, name, o, set.Services[name].Organisations[o])
		}
	}
}

// platformFlags are the flags of commands that access the platform.
type platformFlags struct {
	tables  string
	objects string
	timeout time.Duration
}

func (f *platformFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.tables, "platform", os.Getenv(platformEnv), "URL of the table service (default from "+platformEnv+")")
	c.Flags().StringVar(&f.objects, "objects", "", "URL of the object store (default: the URL of the table service)")
	c.Flags().DurationVar(&f.timeout, "timeout", defaultTimeout, "timeout of the whole command")
}

// connect returns the configuration archive, a context with the command's
// deadline, and a function that releases both.
func (f *platformFlags) connect(c *cobra.Command) (context.Context, func(), config.Archive, error) {
	if f.tables == "" {
		return nil, nil, config.Archive{}, errors.New("--platform or " + platformEnv + " must name the URL of the table service")
	}
	objects := f.objects
	if objects == "" {
		objects = f.tables
	}
	client := tablestore.New(f.tables, objects, tablestore.WithBudget(commandRate, commandRate, commandBurst))
	parent := c.Context()
	if parent == nil {
		parent = context.Background()
	}
	ctx, cancel := context.WithTimeout(parent, f.timeout)
	return ctx, func() { cancel(); client.Close() }, config.Archive{Tables: client.Tables(), Objects: client.Objects()}, nil
}

// publishResult is the output of the publish command.
type publishResult struct {
	Base        uint64
	Version     uint64
	PublishID   config.PublishID
	Digest      config.Digest
	Changed     bool
	DryRun      bool
	Edits       []config.Edit
	Differences []difference
	Warnings    []string
}

func newPublish() *cobra.Command {
	var flags platformFlags
	var operator, reason string
	var rollback uint64
	var dryRun bool
	c := &cobra.Command{
		Use:   "publish (DIRECTORY | --rollback-to VERSION)",
		Short: "Publish declarations to all daemons",
		Long: `Checks the declarations, shows what they change, and publishes them atomically as
one new version.

Publishing the same directory again changes nothing, so that the command can be
repeated after any failure. If another operator has published in the meantime,
nothing takes effect, their changes are shown, and the exit code is 1. A rollback
publishes a new version with the documents of an earlier one.

With --output json the plan is printed as one object before the publish, and the
result as another after it.`,
		Example: `  pollenscale config publish --platform http://10.0.0.5:7000 deploy/puente/config
  pollenscale config publish --dry-run deploy/puente/config
  pollenscale config publish --rollback-to 41 --reason "browse floor too high"`,
		Args: cobra.MaximumNArgs(1),
	}
	flags.add(c)
	c.Flags().StringVar(&operator, "operator", currentUser(), "operator name recorded with the version")
	c.Flags().StringVar(&reason, "reason", "", "reason recorded with the version")
	c.Flags().Uint64Var(&rollback, "rollback-to", 0, "publish the documents of this version again")
	c.Flags().BoolVar(&dryRun, "dry-run", false, "show what would change without publishing")
	output := outputFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		if (len(args) == 1) == c.Flags().Changed("rollback-to") {
			return errors.New("exactly one of DIRECTORY and --rollback-to must be given")
		}
		ctx, done, archive, err := flags.connect(c)
		if err != nil {
			return err
		}
		defer done()
		p := &config.Publisher{Archive: archive, Operator: operator}
		plan, err := makePlan(ctx, p, args, rollback, reason)
		if err != nil {
			return err
		}
		return runPublish(ctx, c.OutOrStdout(), p, plan, *output, dryRun)
	}
	return c
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func makePlan(ctx context.Context, p *config.Publisher, args []string, rollback uint64, reason string) (*config.Plan, error) {
	if len(args) == 0 {
		plan, err := p.PlanRollback(ctx, rollback)
		if err == nil && reason != "" {
			plan.Reason += ": " + reason
		}
		return plan, asFailure(err)
	}
	docs, err := config.ReadDir(os.DirFS(args[0]))
	if err != nil {
		return nil, err
	}
	// Reports invalid declarations before the platform is contacted.
	if _, err := config.Render(0, docs); err != nil {
		return nil, err
	}
	plan, err := p.Plan(ctx, docs, reason)
	return plan, asFailure(err)
}

func runPublish(ctx context.Context, w io.Writer, p *config.Publisher, plan *config.Plan, output format, dryRun bool) error {
	changed, err := differences(plan.Before, plan.After)
	if err != nil {
		return asFailure(err)
	}
	result := publishResult{Base: plan.Base.Number, Version: plan.Base.Number, Digest: plan.NextDigest, DryRun: dryRun, Edits: plan.Edits, Differences: changed, Warnings: plan.Warnings}
	if err := output.print(w, result, func(w io.Writer) { writePlan(w, plan, changed) }); err != nil {
		return asFailure(err)
	}
	if dryRun {
		return nil
	}
	version, err := p.Publish(ctx, plan)
	if err != nil {
		return asFailure(explainUnknownOutcome(err))
	}
	result.Version, result.PublishID, result.Changed = version.Number, version.PublishID, plan.HasChanges()
	return asFailure(output.print(w, result, func(w io.Writer) {
		if result.Changed {
			writeRow(w, fmt.Sprintf("Published version %d.", version.Number))
			return
		}
		writeRow(w, fmt.Sprintf("Version %d stays in force.", version.Number))
	}))
}

func explainUnknownOutcome(err error) error {
	if errors.Is(err, config.ErrOutcomeUnknown) {
		return errors.Wrap(err, "the publish may have taken effect; repeat the command, which changes nothing if it did")
	}
	return err
}

func writePlan(w io.Writer, plan *config.Plan, changed []difference) {
	if !plan.HasChanges() {
		writeRow(w, fmt.Sprintf("Nothing differs from version %d.", plan.Base.Number))
		return
	}
	writeRow(w, fmt.Sprintf("Changes to version %d:", plan.Base.Number))
	for _, e := range plan.Edits {
		writeRow(w, "  "+strings.ToLower(string(e.Kind))+" "+e.Path)
	}
	if plan.Base.Number == 0 {
		return // before the first version every value is new
	}
	if len(changed) == 0 {
		writeRow(w, "The rendered policy stays the same.")
	}
	for _, d := range changed {
		writeRow(w, "  "+d.Service, d.Field, orAbsent(d.Before)+" -> "+orAbsent(d.After))
	}
	for _, text := range plan.Warnings {
		writeRow(w, "Warning: "+text)
	}
}

func orAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}

// showResult is the output of the show command.
type showResult struct {
	Version   uint64
	PublishID config.PublishID
	Digest    config.Digest
	Documents map[string]string
	Policy    *policy.Set
	History   []config.HistoryEntry
}

func newShow() *cobra.Command {
	var flags platformFlags
	var history uint64
	var daemons []string
	c := &cobra.Command{
		Use:   "show [VERSION]",
		Short: "Show a published version, its history, and where it is in force",
		Long: `Shows the latest published version, or the given one, and the versions before it.
With --daemon it also shows which version is in force in that daemon and in the
daemons that it knows, as the status command does.`,
		Example: `  pollenscale config show --platform http://10.0.0.5:7000
  pollenscale config show 41 --output json
  pollenscale config show --daemon 10.0.1.7:7103`,
		Args: cobra.MaximumNArgs(1),
	}
	flags.add(c)
	c.Flags().Uint64Var(&history, "history", 5, "number of versions to list in the history")
	c.Flags().StringSliceVar(&daemons, "daemon", nil, "operator address of a daemon to query; may be repeated")
	output := outputFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		var number uint64
		var err error
		if len(args) == 1 {
			if number, err = strconv.ParseUint(args[0], 10, 64); err != nil || number == 0 {
				return errors.Newf("VERSION must be a whole number of at least 1, is %q", args[0])
			}
		}
		ctx, done, archive, err := flags.connect(c)
		if err != nil {
			return err
		}
		defer done()
		result, err := loadShowResult(ctx, &archive, number, history)
		if err != nil {
			return asFailure(err)
		}
		if err := output.print(c.OutOrStdout(), result, func(w io.Writer) { writeShowResult(w, result) }); err != nil || len(daemons) == 0 {
			return asFailure(err)
		}
		return runStatus(ctx, c.OutOrStdout(), daemons, *output)
	}
	return c
}

func loadShowResult(ctx context.Context, archive *config.Archive, number, history uint64) (*showResult, error) {
	snapshot, err := archive.Snapshot(ctx, number)
	if err != nil {
		return nil, err
	}
	result := &showResult{Version: snapshot.Number, PublishID: snapshot.PublishID, Digest: snapshot.Digest, Documents: map[string]string{}}
	if snapshot.Number == 0 {
		return result, nil
	}
	for name, body := range snapshot.Documents {
		result.Documents[name] = string(body)
	}
	if result.Policy, err = config.Render(snapshot.Number, snapshot.Documents); err != nil {
		return nil, errors.Wrapf(err, "version %d cannot be rendered by this program", snapshot.Number)
	}
	if history == 0 {
		return result, nil
	}
	first := snapshot.Number - min(snapshot.Number, history)
	result.History, err = archive.History(ctx, first, int(snapshot.Number-first))
	return result, err
}

func writeShowResult(w io.Writer, s *showResult) {
	if s.Version == 0 {
		writeRow(w, "Nothing is published yet.")
		return
	}
	writeRow(w, fmt.Sprintf("Version %d, digest %.*s", s.Version, shownDigestChars, s.Digest))
	writeRow(w)
	writeServices(w, s.Policy)
	writeRow(w)
	writeRow(w, "VERSION", "PUBLISHED", "OPERATOR", "FILES", "REASON")
	for _, p := range slices.Backward(s.History) {
		writeRow(w, p.Number, p.PublishedAt.UTC().Format(time.RFC3339), p.Operator, len(p.Edits), p.Reason)
	}
}
