#!/usr/bin/env node
import { createProcessControl } from "../../commandLine/createProcessControl/index.js";
import { runLoadCommand } from "../../load/runLoadCommand/index.js";

await runLoadCommand(createProcessControl());
