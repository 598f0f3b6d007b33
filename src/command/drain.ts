/** `rattanlock drain VERSION` */
import { Args } from "@oclif/core";
import { OperatorCommand, publishFlags } from "./operatorCommand.js";
import { createStatusChange } from "./versionChange.js";

/** Sets a version's status to `draining`. */
export class DrainCommand extends OperatorCommand {
    static override summary = "Drains a version: it finishes its sessions and gets no new ones.";
    static override examples = [
        "<%= config.bin %> drain plan-large@3 --site site.ini --reason \"replaced by plan-large@4\"",
    ];
    static override args = { version: Args.string({ required: true, description: "MODEL@VERSION." }) };
    static override flags = publishFlags;

    async run(): Promise<object> {
        const { args, flags } = await this.parse(DrainCommand);
        return this.withSession(flags, async session => {
            const basedOn = session.reader.getOffset();
            const change = createStatusChange(session.reader.getConfiguration(), args.version, "draining");
            if (change.isErr()) {
                return this.failWith(change.error);
            }
            const result = await this.publishChanges(session, [change.value], basedOn, flags);
            return { offset: result.offset, version: args.version, status: "draining" };
        });
    }
}
