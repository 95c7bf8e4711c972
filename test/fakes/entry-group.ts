/** Entries of several data centres in one process, which share a log. */
import { PlatformRecords } from '../../platform/records.js'
import { PlatformRequests } from '../../platform/requests.js'
import { freshAddress } from '../../script/launch.js'
import type { RunningNode } from '../../src/nodes/running-node.js'
import { startGateway } from '../../src/roles/gateway/gateway.js'
import type { GatewaySettings } from '../../src/types/node-settings.js'
import type { RecordLog } from '../../src/types/ports.js'
import type { Place } from './shared-network.js'

/** An entry under test. */
export interface GroupedEntry {
  readonly instance: string
  readonly dataCentre: string
  /** Address for callers' requests, `ip:port`. */
  readonly callers: string
  /** Address of its metrics and of other nodes' calls, `ip:port`. */
  readonly internal: string
  readonly node: RunningNode
}

/** Port between nodes. */
export const internalPort = 7700

/** A log as the nodes of each data centre read it. */
export interface LogReaders {
  readerIn (dataCentre: string, instance: string): RecordLog
}

/** Starts a node at its place. */
export type StartAt = (place: Place, start: () => Promise<RunningNode>) => Promise<RunningNode>

/** Options of a group. */
export interface GroupOptions {
  /** May place the entries in a network. */
  readonly startAt?: StartAt
  /** Time for a planned stop, milliseconds; an entry serves on for 0.7 s less, unless callers and their cached addresses are gone before. */
  readonly stopGraceMilliseconds?: number
}

/**
 * Starts `count` entries in each data centre, each of which is a region of its own; they know `earlier` entries, and their names
 * follow on theirs. `ips` are kept for a later start of the same entries.
 */
export async function startEntries (log: LogReaders, dataCentres: readonly string[], count: number, earlier: readonly GroupedEntry[] = [], ips = new Map<string, string>(), { startAt = (_place, start) => start(), stopGraceMilliseconds = 1000 }: GroupOptions = {}): Promise<readonly GroupedEntry[]> {
  const planned = dataCentres.flatMap(dataCentre => Array.from({ length: count }, (_, index) => {
    const instance = `${dataCentre}-${earlier.length + index}`
    return { dataCentre, instance, ip: ips.get(instance) ?? freshIp() }
  }))
  for (const { instance, ip } of planned) ips.set(instance, ip)
  const seeds = [...earlier.map(({ internal }) => internal.split(':')[0] ?? ''), ...planned.map(({ ip }) => ip)].slice(0, 3)
  const regionByDataCentre = new Map(dataCentres.map(dataCentre => [dataCentre, dataCentre]))
  return await Promise.all(planned.map(async ({ dataCentre, instance, ip }) => {
    const settings: GatewaySettings = {
      role: 'gateway',
      instance,
      ip,
      dataCentre,
      region: dataCentre,
      regionByDataCentre,
      internalPort,
      seeds,
      store: `${ip}:1`,
      callers: `${ip}:8005`,
      readiness: `${ip}:8002`,
      directory: `${ip}:8009`,
      directoryCacheSeconds: 1,
      configurationApplyMilliseconds: 3000,
      drainMilliseconds: 3000,
      rolloutMilliseconds: 10_000,
      stopGraceMilliseconds,
      retryRatio: 0.2,
      retryWindowMilliseconds: 10_000,
      retrySlack: 100,
      coldFactor: 1.5,
      coldSlack: 5,
      heartbeatMilliseconds: 1200,
      dispatchMode: 'automatic',
      stableMilliseconds: 4000
    }
    const node = await startAt({ dataCentre, ip }, () => startGateway(settings, {
      records: log.readerIn(dataCentre, instance),
      codec: new PlatformRecords(),
      requests: new PlatformRequests(),
      directory: (_incoming, response) => { response.end() },
      readiness: (_incoming, response, isReady) => { response.writeHead(isReady ? 200 : 503).end() }
    }))
    return { instance, dataCentre, callers: settings.callers, internal: `${ip}:${internalPort}`, node }
  }))
}

/** Version of the configuration that an entry has in force; 0 before the first. */
export async function versionInForce (entry: GroupedEntry): Promise<number> {
  return await metricOf(entry, 'pollendyke_configuration_version')
}

/** Value of a metric of an entry, all series of that name with the given label text added up; 0 if there is none. */
export async function metricOf ({ internal }: GroupedEntry, name: string, label = ''): Promise<number> {
  const lines = (await (await fetch(`http://${internal}/metrics`)).text()).split('\n')
  return lines.filter(line => (line.startsWith(`${name} `) || line.startsWith(`${name}{`)) && line.includes(label)).reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0)
}

/** An IP of loopback that no other node has. */
export function freshIp (): string {
  return freshAddress().split(':')[0] ?? ''
}
