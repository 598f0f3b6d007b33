#!/usr/bin/env node
/** The `rattanlock` program for operators. */
import { execute } from "@oclif/core";

await execute({ dir: import.meta.url });
