/**
 * Describes the Agenzia's site in Catania, as the demo runs it.
 */
import type { SiteDescription, SiteVersion, SiteWorkspace } from "./siteDescription.js";

const versions: readonly SiteVersion[] = [
    {
        id: "plan-large@4",
        status: "serving",
        inputPrice: 2.5,
        outputPrice: 10,
        expectedQuality: 0.92,
        quality: 0.93,
    },
    {
        id: "bench-medium@2",
        status: "serving",
        inputPrice: 0.6,
        outputPrice: 2.4,
        expectedQuality: 0.84,
        quality: 0.85,
        classQualities: { "regrinding-plan": 0.74, "bench-question": 0.9 },
    },
    {
        id: "tag-small@7",
        status: "serving",
        inputPrice: 0.08,
        outputPrice: 0.3,
        expectedQuality: 0.7,
        quality: 0.7,
        classQualities: { "wear-tag": 0.9, "regrinding-plan": 0.5 },
    },
    {
        id: "tag-small@8",
        status: "candidate",
        inputPrice: 0.08,
        outputPrice: 0.3,
        expectedQuality: 0.7,
        quality: 0.25,
    },
];

const workspaces: readonly SiteWorkspace[] = [
    {
        name: "officina",
        settings: {
            services: "sportello-app",
            target_quality: "0.8",
            request_class: "wear-tag",
            share: "4",
        },
    },
    {
        name: "cantieri",
        settings: {
            services: "sportello-app",
            target_quality: "0.88",
            request_class: "regrinding-plan",
            share: "3",
            first_token_ms: "2000",
        },
    },
    {
        name: "banco",
        settings: { target_quality: "0.82", request_class: "bench-question", priority: "1", share: "1" },
    },
];

/** Seven entry VMs in four failure domains, thirteen runners and four instances of the counter's application. */
export const catania: SiteDescription = {
    name: "catania",
    prefix: "127.100.2",
    failureDomains: ["hall-mole", "hall-frese", "hall-lame", "hall-magazzino"],
    entryCount: 7,
    runners: { name: "affilatura-llm", count: 13, settings: { stepMilliseconds: 5 } },
    services: { name: "sportello-app", count: 4 },
    versions,
    workspaces,
};
