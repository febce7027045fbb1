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
	// platformEnv names the platform for commands without --platform.
	platformEnv = "POLLENSCALE_PLATFORM"
	shownDigest = 12
)

// Budget of one command: a rollback reads a few rows for each 64 versions.
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
		Long: `Checks the declarations without contacting the platform, and shows what they
render to. Each mistake is reported with file, line and column; the exit code is
then 2.`,
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
		return failed(output.print(c.OutOrStdout(), set, func(w io.Writer) { servicesTable(w, set) }))
	}
	return c
}

func servicesTable(w io.Writer, set *policy.Set) {
	cells(w, "SERVICE", "RANK", "WORTH", "TIMEOUT", "FLOOR", "DEFAULT")
	names := slices.Sorted(maps.Keys(set.Services))
	for _, name := range names {
		s := set.Services[name]
		for _, r := range s.Ranks {
			isDefault := ""
			if r.Name == s.DefaultRank {
				isDefault = "yes"
			}
			cells(w, name, r.Name, r.Worth, r.Timeout.Duration(), r.Floor, isDefault)
		}
	}
	cells(w)
	cells(w, "SERVICE", "METHOD", "PATH", "RANK", "IDEMPOTENT", "KEYS", "DEFERRABLE")
	for _, name := range names {
		for _, r := range set.Services[name].Routes {
			cells(w, name, r.Method, r.PathPrefix, r.Rank, r.Idempotent, r.KeyRule, r.Deferrable)
		}
	}
	cells(w)
	cells(w, "SERVICE", "ORGANISATION", "SHARE")
	for _, name := range names {
		for _, o := range slices.Sorted(maps.Keys(set.Services[name].Organisations)) {
			cells(w, name, o, set.Services[name].Organisations[o])
		}
	}
}

// platformFlags are the flags of commands that talk to the platform.
type platformFlags struct {
	tables  string
	objects string
	timeout time.Duration
}

func (f *platformFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.tables, "platform", os.Getenv(platformEnv), "URL of the table service (default from "+platformEnv+")")
	c.Flags().StringVar(&f.objects, "objects", "", "URL of the object store, if it is another")
	c.Flags().DurationVar(&f.timeout, "timeout", defaultTimeout, "time for the whole command")
}

// connect returns the archive and a context with the command's deadline.
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

// published is the result of publish.
type published struct {
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
		Long: `Checks the declarations, states what they change, and publishes them as one new
version, all or nothing.

Publishing the same directory twice changes nothing the second time, so that the
command can be repeated after any failure. If another operator published in the
meantime, nothing takes effect and their changes are shown; the exit code is
then 1. A rollback is a new version with the documents of an earlier one.

With --output json the plan is printed as one object before the publish, and the
result as another after it.`,
		Example: `  pollenscale config publish --platform http://10.0.0.5:7000 deploy/puente/config
  pollenscale config publish --dry-run deploy/puente/config
  pollenscale config publish --rollback-to 41 --reason "browse floor too high"`,
		Args: cobra.MaximumNArgs(1),
	}
	flags.add(c)
	c.Flags().StringVar(&operator, "operator", currentUser(), "who publishes, as others see it")
	c.Flags().StringVar(&reason, "reason", "", "why, as others see it")
	c.Flags().Uint64Var(&rollback, "rollback-to", 0, "publish the documents of this version again")
	c.Flags().BoolVar(&dryRun, "dry-run", false, "state what would change and stop")
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
		return plan, failed(err)
	}
	docs, err := config.ReadDir(os.DirFS(args[0]))
	if err != nil {
		return nil, err
	}
	// Mistakes are reported without contacting the platform.
	if _, err := config.Render(0, docs); err != nil {
		return nil, err
	}
	plan, err := p.Plan(ctx, docs, reason)
	return plan, failed(err)
}

func runPublish(ctx context.Context, w io.Writer, p *config.Publisher, plan *config.Plan, output format, dryRun bool) error {
	changed, err := differences(plan.Before, plan.After)
	if err != nil {
		return failed(err)
	}
	result := published{Base: plan.Base.Number, Version: plan.Base.Number, Digest: plan.NextDigest, DryRun: dryRun, Edits: plan.Edits, Differences: changed, Warnings: plan.Warnings}
	if err := output.print(w, result, func(w io.Writer) { planTable(w, plan, changed) }); err != nil {
		return failed(err)
	}
	if dryRun {
		return nil
	}
	version, err := p.Publish(ctx, plan)
	if err != nil {
		return failed(explain(err))
	}
	result.Version, result.PublishID, result.Changed = version.Number, version.PublishID, plan.HasChanges()
	return failed(output.print(w, result, func(w io.Writer) {
		if result.Changed {
			cells(w, fmt.Sprintf("Published version %d.", version.Number))
			return
		}
		cells(w, fmt.Sprintf("Version %d stays in force.", version.Number))
	}))
}

func explain(err error) error {
	if errors.Is(err, config.ErrOutcomeUnknown) {
		return errors.Wrap(err, "the publish may have taken effect; publish again, which changes nothing if it did")
	}
	return err
}

func planTable(w io.Writer, plan *config.Plan, changed []difference) {
	if !plan.HasChanges() {
		cells(w, fmt.Sprintf("Nothing differs from version %d.", plan.Base.Number))
		return
	}
	cells(w, fmt.Sprintf("Changes to version %d:", plan.Base.Number))
	for _, e := range plan.Edits {
		cells(w, "  "+strings.ToLower(string(e.Kind))+" "+e.Path)
	}
	if plan.Base.Number == 0 {
		return // all values are new
	}
	if len(changed) == 0 {
		cells(w, "The rendered policy stays the same.")
	}
	for _, d := range changed {
		cells(w, "  "+d.Service, d.Field, absent(d.Before)+" -> "+absent(d.After))
	}
	for _, text := range plan.Warnings {
		cells(w, "Warning: "+text)
	}
}

func absent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}

// shown is the result of show.
type shown struct {
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
		Short: "Show a published version, the history, and where it is in force",
		Long: `Shows the latest published version, or the named one, with the versions before
it. With --daemon it also shows which version is in force in that daemon and in
those that it knows, as the command status does.`,
		Example: `  pollenscale config show --platform http://10.0.0.5:7000
  pollenscale config show 41 --output json
  pollenscale config show --daemon 10.0.1.7:7103`,
		Args: cobra.MaximumNArgs(1),
	}
	flags.add(c)
	c.Flags().Uint64Var(&history, "history", 5, "number of versions to list")
	c.Flags().StringSliceVar(&daemons, "daemon", nil, "operators' address of a daemon to ask; may be repeated")
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
		result, err := show(ctx, &archive, number, history)
		if err != nil {
			return failed(err)
		}
		if err := output.print(c.OutOrStdout(), result, func(w io.Writer) { showTable(w, result) }); err != nil || len(daemons) == 0 {
			return failed(err)
		}
		return runStatus(ctx, c.OutOrStdout(), daemons, *output)
	}
	return c
}

func show(ctx context.Context, archive *config.Archive, number, history uint64) (*shown, error) {
	snapshot, err := archive.Snapshot(ctx, number)
	if err != nil {
		return nil, err
	}
	result := &shown{Version: snapshot.Number, PublishID: snapshot.PublishID, Digest: snapshot.Digest, Documents: map[string]string{}}
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

func showTable(w io.Writer, s *shown) {
	if s.Version == 0 {
		cells(w, "Nothing is published yet.")
		return
	}
	cells(w, fmt.Sprintf("Version %d, digest %.*s", s.Version, shownDigest, s.Digest))
	cells(w)
	servicesTable(w, s.Policy)
	cells(w)
	cells(w, "VERSION", "PUBLISHED", "OPERATOR", "FILES", "REASON")
	for _, p := range slices.Backward(s.History) {
		cells(w, p.Number, p.PublishedAt.UTC().Format(time.RFC3339), p.Operator, len(p.Edits), p.Reason)
	}
}
