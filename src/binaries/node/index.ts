#!/usr/bin/env node
// The signal that the settings have changed ends a process without a listener; they are read after this line.
process.on("SIGHUP", () => {});
// Everything else is loaded later, because loading takes long.
void import("../../vm/runVm/index.js").then(({ runVm }) => runVm());
