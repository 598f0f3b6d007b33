/** Domain objects of the router: VMs, failure domains, upstreams, versions and workspaces. */
export * from "./upstream.js";
export * from "./version.js";
export * from "./vm.js";
export * from "./workspace.js";
