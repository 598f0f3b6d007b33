/** `rattanlock show PATH` */
import { Args } from "@oclif/core";
import { type Configuration, formatTree, type ScopeKey, scopeKeys } from "../configuration/index.js";
import { exitCodes } from "./exitCodes.js";
import { OperatorCommand } from "./operatorCommand.js";
import { formatTable } from "./table.js";

/** Shows the tree, the versions, or the settings of a path with their origins. */
export class ShowCommand extends OperatorCommand {
    static override summary = "Shows the settings in force with the section that each value comes from.";
    static override examples = [
        "<%= config.bin %> show --site site.ini",
        "<%= config.bin %> show versions --site site.ini",
        "<%= config.bin %> show boatyards/bench/chat --site site.ini",
    ];
    static override args = {
        path: Args.string({
            description:
                "WORKSPACE, WORKSPACE/APPLICATION or WORKSPACE/APPLICATION/CLASS; `versions`; the whole tree if omitted.",
        }),
    };

    async run(): Promise<object> {
        const { args, flags } = await this.parse(ShowCommand);
        const configuration = (await this.readConfiguration(flags)).getConfiguration();
        if (args.path === undefined) {
            const tree = configuration.getTree();
            this.log(`; tree at offset ${configuration.getOffset()}\n${formatTree(tree)}`);
            return {
                offset: configuration.getOffset(),
                tree: [...tree].map(([name, keys]) => ({ name, keys: [...keys] })),
            };
        }
        return args.path === "versions" ? this.#showVersions(configuration) : this.#showPath(configuration, args.path);
    }

    #showVersions(configuration: Configuration): object {
        const versions = configuration.getVersions();
        const rows = versions.map(({ id, status, inputPrice, outputPrice, expectedQuality }) => {
            return [id, status, String(inputPrice), String(outputPrice), String(expectedQuality)];
        });
        this.log(formatTable(["VERSION", "STATUS", "INPUT", "OUTPUT", "EXPECTED"], rows));
        return { versions };
    }

    #showPath(configuration: Configuration, path: string): object {
        const [workspace, application, session] = path.split("/");
        const found = configuration.getEffective({ workspace, application, session });
        if (found.isErr()) {
            return this.error(found.error.message, { exit: exitCodes.badInput });
        }
        const effective = found.value;
        const settings = (Object.keys(scopeKeys) as ScopeKey[]).map(key => {
            const origin = effective.getOrigin(key);
            const value = configuration.getTree().get(origin)?.get(key) ?? scopeKeys[key].defaultText ?? "";
            return { key, value, origin };
        });
        this.log(formatTable(["KEY", "VALUE", "FROM"], settings.map(({ key, value, origin }) => [key, value, origin])));
        const versions = effective.allowedVersions.map(({ id, status }) => ({ id, status }));
        this.log(`\nallowed versions: ${versions.map(({ id, status }) => `${id} (${status})`).join(", ") || "none"}`);
        this.log(`allowed services: ${effective.services.join(", ") || "none"}`);
        return { path, settings, versions, services: effective.services };
    }
}
