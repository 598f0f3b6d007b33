/** `rattanlock publish FILE` */
import { Args, Flags } from "@oclif/core";
import { compareTrees } from "../configuration/index.js";
import { formatChanges, getLiftedVersions } from "./changeText.js";
import { exitCodes } from "./exitCodes.js";
import { OperatorCommand, publishFlags } from "./operatorCommand.js";

/** Publishes the differences between a configuration file and the tree in force. */
export class PublishCommand extends OperatorCommand {
    static override summary = "Publishes a configuration file and waits until it is accepted.";
    static override description =
        "The file is the whole tree: keys that it omits are removed. If two operators change the same key "
        + "concurrently, the first change is accepted; the second is rejected and names the first one's author.\n"
        + "Exit codes: 0 accepted, 1 refused or superseded, 2 invalid input, 3 platform unavailable.";
    static override examples = [
        "<%= config.bin %> publish catania.ini --site site.ini --reason \"new bench model\"",
        "<%= config.bin %> publish catania.ini --site site.ini --based-on 120 --wait in-force",
    ];
    static override args = { file: Args.string({ required: true, description: "Configuration file." }) };
    static override flags = {
        ...publishFlags,
        "based-on": Flags.integer({
            description: "Refuse the file if the tree changed after this offset, which `diff` prints.",
        }),
        "lift-withdrawals": Flags.boolean({ description: "Allow the file to restore withdrawn versions." }),
    };

    async run(): Promise<object> {
        const { args, flags } = await this.parse(PublishCommand);
        const fileTree = this.readTree(args.file);
        return this.withSession(flags, async session => {
            const configuration = session.reader.getConfiguration();
            const basedOn = session.reader.getOffset();
            const tree = configuration.getTree();
            const changes = compareTrees(tree, fileTree);
            if (flags["based-on"] !== undefined && configuration.getOffset() > flags["based-on"]) {
                // A file that was written before changes of other operators would silently revert them.
                const message = `The tree changed at offset ${configuration.getOffset() - 1}, after ${
                    flags["based-on"]
                }.`;
                this.error(`${message} See \`history\`, merge the changes into the file, and compare again.`, {
                    exit: exitCodes.refused,
                });
            }
            const lifted = getLiftedVersions(tree, changes);
            if (lifted.length > 0 && !flags["lift-withdrawals"]) {
                const message = `The file would restore withdrawn versions: ${lifted.join(", ")}.`;
                this.error(`${message} Set status = withdrawn in it, or add --lift-withdrawals.`, {
                    exit: exitCodes.refused,
                });
            }
            if (changes.length === 0) {
                this.log("No changes.");
                return { changes };
            }
            this.log(formatChanges(tree, changes));
            const result = await this.publishChanges(session, changes, basedOn, flags);
            return { offset: result.offset, changes };
        });
    }
}
