/** `rattanlock diff FILE` */
import { Args } from "@oclif/core";
import { compareTrees } from "../configuration/index.js";
import { formatChanges } from "./changeText.js";
import { OperatorCommand } from "./operatorCommand.js";

/** Compares a configuration file with the tree in force. */
export class DiffCommand extends OperatorCommand {
    static override summary = "Shows the changes that publishing a file would make.";
    static override examples = ["<%= config.bin %> diff catania.ini --site site.ini"];
    static override args = { file: Args.string({ required: true, description: "Configuration file." }) };

    async run(): Promise<object> {
        const { args, flags } = await this.parse(DiffCommand);
        const fileTree = this.readTree(args.file);
        const configuration = (await this.readConfiguration(flags)).getConfiguration();
        const changes = compareTrees(configuration.getTree(), fileTree);
        this.log(changes.length === 0 ? "No changes." : formatChanges(configuration.getTree(), changes));
        this.log(`Compared with the tree at offset ${configuration.getOffset()}.`);
        return { offset: configuration.getOffset(), changes };
    }
}
