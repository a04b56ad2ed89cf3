// Package soak runs the real daemons as separate processes on loopback, injects
// faults from outside them in a random, seeded order, and checks from what
// callers and backend servers see that the promises hold.
//
// soak_main.go reads the command line, seed_list.go and run_seeds.go run its
// seeds, soak.go runs one of them and run_report.go builds its report.
//
// site.go lays out the VMs, site_start.go starts what is on them: each has an
// address, a backend server of the soak (backend_server.go and
// backend_answers.go), a process of rockspoked (node_process.go) and callers
// (caller.go). site_routes.go has the services and their routes. All connections
// between nodes, to backend servers and to the store go through link_proxy.go,
// which delays, resets, mutes or cuts them one way. fault_table.go lists the
// kinds of fault, fault_links.go, fault_processes.go, fault_servers.go,
// fault_store.go, fault_notices.go and planned_work.go inject them. history.go records what was seen,
// promise_checks.go, notice_checks.go and team_checks.go check it against the promises.
//
// The memory and the descriptors of a process are bounded as on a small VM, so that one that grows ends by itself. That is a
// broken promise whatever else happens.
//
// Clock jumps aren't injected: changing the time of day from outside a process
// needs privileges that the soak doesn't use.
package soak
