#!/usr/bin/env node
import { runOperator } from "../../operator/runOperator/index.js";

await runOperator();
