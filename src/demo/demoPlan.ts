/**
 * The plans of the demo for each site: the work, the configuration change, the roll-out and the withdrawal.
 */
import type { Change } from "../configuration/index.js";
import { catania, metroManila, type SiteDescription } from "../testbench/index.js";

/** One kind of work. */
export interface DemoWork {
    readonly workspace: string;
    readonly requestClass: string;
    readonly text: string;
    readonly streamed: boolean;
    /** Whether the requests belong to sessions. */
    readonly hasSessions: boolean;
}

/** The plan of the demo for one site. */
export interface DemoPlan {
    readonly site: SiteDescription;
    readonly work: readonly DemoWork[];
    /** A service call that must not run twice. */
    readonly service: { readonly workspace: string; readonly pool: string; readonly path: string; };
    readonly change: Change;
    /** A candidate that is known to be bad, and the baseline that it is to replace. */
    readonly rollout: { readonly model: string; readonly candidate: string; readonly baseline: string; };
    readonly withdrawnVersion: string;
}

/** The plans by the name of their site. */
export const demoPlans: Readonly<Record<string, DemoPlan>> = {
    "metro-manila": {
        site: metroManila,
        work: [
            {
                workspace: "commissary",
                requestClass: "kitchen-query",
                text: "Does the pandan cake hold peanut?",
                streamed: true,
                hasSessions: false,
            },
            {
                workspace: "compliance",
                requestClass: "allergen",
                text: "Declare the allergens of the kare-kare recipe sheet.",
                streamed: false,
                hasSessions: false,
            },
            {
                workspace: "banquet",
                requestClass: "kitchen-query",
                text: "Draft the wording of the buffet's labels.",
                streamed: true,
                hasSessions: true,
            },
        ],
        service: { workspace: "commissary", pool: "label-app", path: "/print" },
        change: { section: "workspace.banquet", key: "target_quality", value: "0.65" },
        rollout: { model: "label-small", candidate: "label-small@6", baseline: "label-small@5" },
        withdrawnVersion: "label-medium@2",
    },
    "catania": {
        site: catania,
        work: [
            {
                workspace: "officina",
                requestClass: "wear-tag",
                text: "Tag the wear of end mill 4711.",
                streamed: false,
                hasSessions: false,
            },
            {
                workspace: "cantieri",
                requestClass: "regrinding-plan",
                text: "Draft a regrinding plan from this job history: " + "drill 8 mm reground twice; ".repeat(60),
                streamed: true,
                hasSessions: false,
            },
            {
                workspace: "banco",
                requestClass: "bench-question",
                text: "Which wheel for a carbide saw blade?",
                streamed: true,
                hasSessions: true,
            },
        ],
        service: { workspace: "officina", pool: "sportello-app", path: "/bookings" },
        change: { section: "workspace.banco", key: "target_quality", value: "0.8" },
        rollout: { model: "tag-small", candidate: "tag-small@8", baseline: "tag-small@7" },
        withdrawnVersion: "bench-medium@2",
    },
};
