/**
 * Describes Dalisay's site in Metro Manila, as the demo and the proofs run it.
 */
import type { SiteDescription, SiteVersion, SiteWorkspace } from "./siteDescription.js";

const versions: readonly SiteVersion[] = [
    {
        id: "label-large@3",
        status: "serving",
        inputPrice: 3,
        outputPrice: 15,
        expectedQuality: 0.93,
        quality: 0.94,
    },
    {
        id: "label-medium@2",
        status: "serving",
        inputPrice: 0.8,
        outputPrice: 4,
        expectedQuality: 0.85,
        quality: 0.86,
        classQualities: { "kitchen-query": 0.9, "allergen": 0.8 },
    },
    {
        id: "label-small@5",
        status: "serving",
        inputPrice: 0.1,
        outputPrice: 0.4,
        expectedQuality: 0.7,
        quality: 0.7,
        classQualities: { "kitchen-query": 0.86, "allergen": 0.6 },
    },
    {
        id: "label-small@6",
        status: "candidate",
        inputPrice: 0.1,
        outputPrice: 0.4,
        expectedQuality: 0.7,
        quality: 0.25,
    },
];

const workspaces: readonly SiteWorkspace[] = [
    {
        name: "commissary",
        settings: {
            allowed: "*",
            services: "label-app",
            target_quality: "0.8",
            request_class: "kitchen-query",
            share: "4",
            max_configuration_age_s: "10",
        },
    },
    {
        name: "compliance",
        settings: {
            allowed: "label-large, label-medium",
            services: "label-app",
            target_quality: "0.9",
            request_class: "allergen",
            priority: "0",
            share: "2",
            max_configuration_age_s: "10",
        },
    },
    {
        name: "banquet",
        settings: { allowed: "label-small", target_quality: "0.6", request_class: "kitchen-query", share: "1" },
    },
];

/** Eight entry VMs in four failure domains, six runners and four instances of the label application. */
export const metroManila: SiteDescription = {
    name: "metro-manila",
    prefix: "127.100.1",
    failureDomains: ["pasig-a", "pasig-b", "makati", "taguig"],
    entryCount: 8,
    runners: { name: "lm-pool", count: 6, settings: { stepMilliseconds: 5 } },
    services: { name: "label-app", count: 4 },
    versions,
    workspaces,
};
