// Command samphirectl is the command line tool for operators.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// commands lists the functions that each register one sub-command.
var commands = []func(*kingpin.Application, *gatewayClient){
	addApply,
	addTicket,
	addCheck,
	addStatus,
	addJobs,
	addExplain,
	addPlace,
	addCancel,
	addLeases,
	addQuarantine,
	addEvacuation,
	addHistograms,
	addMembers,
	addTarget,
	addLoad,
	addHistory,
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
