/** `rattanlock key` */
import { Command } from "@oclif/core";
import { createHash, randomBytes } from "node:crypto";

const keyBytes = 32;

/** Creates an API key and its hash. */
export class KeyCommand extends Command {
    static override summary = "Creates an API key for callers, and its hash for `keys` of a workspace.";
    static override description =
        "To rotate a key without downtime: add the new hash next to the old one, publish, distribute the new key, "
        + "and remove the old hash when it is no longer used. The key itself is not stored.";
    static override examples = ["<%= config.bin %> key"];
    static override enableJsonFlag = true;

    async run(): Promise<object> {
        await this.parse(KeyCommand);
        const key = `rl-${randomBytes(keyBytes).toString("base64url")}`;
        const hash = createHash("sha256").update(key).digest("hex");
        this.log(`key  ${key}\nhash ${hash}`);
        return { key, hash };
    }
}
