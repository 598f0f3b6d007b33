/** `rattanlock key` */
import { Command } from "@oclif/core";
import { createHash, randomBytes } from "node:crypto";

const keyBytes = 32;

/** Makes an API key and its hash. */
export class KeyCommand extends Command {
    static override summary = "Makes an API key for callers and the hash of it for `keys` of a workspace.";
    static override description =
        "To rotate without a gap: add the new hash beside the old one, publish, hand the key out, "
        + "and remove the old hash when nobody uses it any more. The key itself is kept nowhere.";
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
