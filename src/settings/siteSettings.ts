/**
 * Defines the settings of operators' commands: the URLs of a site's platform.
 */
import { ok, type Result } from "neverthrow";
import { httpUrl, optional, type SettingValues } from "./settingKey.js";
import { checkSettings, defineSection, getValues, type SettingSchema } from "./settingSchema.js";
import type { ValidationError } from "./validationError.js";

const platformSection = defineSection("platform", "URLs of the platform's services.", {
    log_url: optional(httpUrl({ description: "The append-only log.", example: "http://10.0.0.2:7000" })),
    vm_list_url: optional(httpUrl({ description: "The VM list.", example: "http://10.0.0.2:7001" })),
});

/** Schema of a site file. */
export const siteSchema: SettingSchema = {
    title: "Site file of operators",
    description: "Read by `rattanlock --site FILE` instead of `--log` and `--vm-list`.",
    sections: [platformSection],
};

/** Represents the URLs of a site's platform. */
export type SiteSettings = SettingValues<typeof platformSection.keys>;

/**
 * Parses a site file.
 * @param content - The text of the file.
 * @param file - The file's name, used in error messages.
 */
export function parseSiteSettings(content: string, file: string): Result<SiteSettings, readonly ValidationError[]> {
    return checkSettings(content, file, siteSchema)
        .andThen(document => ok(getValues(document, "platform", platformSection)));
}
