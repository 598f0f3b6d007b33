#!/usr/bin/env node
/** Runs the `rattanlock` program for operators. */
import { execute } from "@oclif/core";

await execute({ dir: import.meta.url });
