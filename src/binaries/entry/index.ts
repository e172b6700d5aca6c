#!/usr/bin/env node
import { runBinary } from "../../commandLine/runBinary/index.js";
import { listEntryServices } from "../../entry/listEntryServices/index.js";
import { entrySettingsSchema } from "../../settings/entrySettingsSchema/index.js";
import { readSettings } from "../../settings/readSettings/index.js";

await runBinary({
    name: "tarragonpost-entry",
    description: "Accepts callers' requests and routes each to an endpoint that can serve it.",
    readSettings: file => readSettings(file, entrySettingsSchema),
    createServices: listEntryServices,
});
