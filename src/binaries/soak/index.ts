#!/usr/bin/env node
import { createProcessControl } from "../../commandLine/createProcessControl/index.js";
import { runSoakCommand } from "../../soak/runSoakCommand/index.js";

await runSoakCommand(createProcessControl());
