package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/ctl/standin"
)

// targetCommand runs a stand-in target until SIGTERM or SIGINT. A second signal ends it at once.
type targetCommand struct {
	id, zone, rack, pool string
	config               standin.Config
}

func addTarget(app *kingpin.Application, conn *connection) {
	c := &targetCommand{}
	cmd := app.Command("target", "Runs a stand-in target for local runs and tests.")
	cmd.Action(func(*kingpin.ParseContext) error {
		c.config.Gateways = conn.gateways
		return c.run()
	})
	cmd.Flag("id", "Target id.").Required().StringVar(&c.id)
	cmd.Flag("listen", "Address of the targets' interface, ip:port.").Default("127.0.0.1:0").StringVar(&c.config.Listen)
	cmd.Flag("zone", "Availability zone.").StringVar(&c.zone)
	cmd.Flag("rack", "Rack.").StringVar(&c.rack)
	cmd.Flag("pool", "Pool of workers.").Required().StringVar(&c.pool)
	capacity := &c.config.Capacity
	cmd.Flag("slots", "Slots.").Default("8").Int32Var(&capacity.Slots)
	cmd.Flag("connections", "Connections.").Default("64").Int32Var(&capacity.Connections)
	cmd.Flag("cpu-millis", "Thousandths of a core.").Default("16000").Int64Var(&capacity.CPUMillis)
	cmd.Flag("memory-mib", "Memory in MiB.").Default("61440").Int64Var(&capacity.MemoryMiB)
	cmd.Flag("accelerators", "Accelerators.").Default("0").Int32Var(&capacity.Accelerators)
	cmd.Flag("service-time", "Time of one quick request.").Default("5ms").DurationVar(&c.config.ServiceTime)
	cmd.Flag("usage-lag", "Age at which a usage report is sent.").Default("2s").DurationVar(&c.config.UsageLag)
}

func (c *targetCommand) run() error {
	c.config.ID = model.TargetID(c.id)
	c.config.Zone = model.Zone(c.zone)
	c.config.Rack = model.Rack(c.rack)
	c.config.Pool = model.PoolID(c.pool)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	log := zerolog.New(os.Stderr).With().Timestamp().Str("target", c.id).Logger()
	target, err := standin.Start(c.config, log)
	if err != nil {
		return err
	}
	log.Info().Str("address", target.Address()).Str("start_id", target.StartID()).Msg("target listens")
	<-signals
	log.Info().Msg("target is leaving")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return target.Leave(ctx)
}
