/** What operators have written, as one entry knows it. */
import { earlyMilliseconds } from '../../core/weights/change-turn.js'
import { buildRouteTable, type RouteTable } from '../../core/fleet/match-route.js'
import type { Service } from '../../types/fleet.js'
import type { HeardWeights } from '../../types/node-messages.js'
import type { KeyedRecord, RecordCodec } from '../../types/ports.js'
import { steadyNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('configuration')

/** Version of the weights before any is named. */
const firstVersion = 1
/** Named versions of a model that are remembered. */
const maximumNamedVersions = 4

interface NamedVersion {
  readonly version: number
  /** Steady milliseconds at which it was known first; the bound counts from its naming, which was earlier. */
  readonly knownAt: number
}

/** Configuration, evacuations and named weights in force. */
export class FleetState {
  private routeTable: RouteTable | undefined
  private readonly evacuated = new Set<string>()
  private readonly named = new Map<string, readonly NamedVersion[]>()

  constructor (private readonly codec: RecordCodec, private readonly weightsMilliseconds: number, private readonly changed: () => void) {}

  /** The configuration in force; undefined before the first. */
  get table (): RouteTable | undefined {
    return this.routeTable
  }

  service (name: string): Service | undefined {
    return this.routeTable?.configuration.services.get(name)
  }

  isEvacuated (dataCentre: string): boolean {
    return this.evacuated.has(dataCentre)
  }

  /** Takes an operator's record; `isFirst` marks one whose age is unknown. */
  put (record: KeyedRecord, isFirst: boolean): void {
    const decoded = this.codec.operatorRecord(record.key, record.value)
    if (decoded.kind === 'evacuation') this.putEvacuation(decoded.dataCentre, record.value !== undefined, record.offset)
    else if (decoded.kind === 'configuration') this.putConfiguration(decoded.configuration, record.offset)
    else if (decoded.kind === 'weights') this.recordNamedVersion(decoded.weights.model, decoded.weights.version, isFirst ? this.weightsMilliseconds : 0)
    else log.warn('a record was ignored', { key: record.key, offset: record.offset, reason: decoded.reason })
  }

  /** Takes what another entry knows of named weights. */
  mergeWeights (heard: readonly HeardWeights[]): void {
    for (const { model, version, ageMilliseconds } of heard) this.recordNamedVersion(model, version, ageMilliseconds)
  }

  /** Named weights with the time for which they are known. */
  get weights (): readonly HeardWeights[] {
    const now = steadyNow()
    return [...this.named].flatMap(([model, named]) => named.map(({ version, knownAt }) => ({ model, version, ageMilliseconds: Math.round(now - knownAt) })))
  }

  /** Lowest version on which a request for a model may begin now: each version binds from its own naming on. */
  minimumVersion (model: string): number {
    const now = steadyNow()
    const binding = (this.named.get(model) ?? []).filter(({ knownAt }) => now >= knownAt + this.weightsMilliseconds - earlyMilliseconds)
    return Math.max(firstVersion, ...binding.map(({ version }) => version))
  }

  private recordNamedVersion (model: string, version: number, ageMilliseconds: number): void {
    const known = this.named.get(model) ?? []
    const knownAt = steadyNow() - ageMilliseconds
    const same = known.find(named => named.version === version)
    if (same !== undefined && (ageMilliseconds >= this.weightsMilliseconds || knownAt >= same.knownAt)) return
    const others = known.filter(named => named.version !== version)
    this.named.set(model, [...others, { version, knownAt }].sort((left, right) => left.version - right.version).slice(-maximumNamedVersions))
    if (same !== undefined) return
    log.info('weights are named', { model, version, ageMilliseconds: Math.round(ageMilliseconds) })
    this.changed()
  }

  private putConfiguration (configuration: RouteTable['configuration'], offset: number): void {
    const inForce = this.routeTable?.configuration.version
    if (inForce !== undefined && configuration.version <= inForce) {
      log.warn('an older configuration was ignored', { version: configuration.version, inForce, offset })
      return
    }
    this.routeTable = buildRouteTable(configuration)
    log.info('a configuration is in force', { version: configuration.version, before: inForce ?? 0, offset, routes: configuration.routes.length, organisations: configuration.organisations.length })
    this.changed()
  }

  private putEvacuation (dataCentre: string, isOut: boolean, offset: number): void {
    if (isOut) this.evacuated.add(dataCentre)
    else this.evacuated.delete(dataCentre)
    log.info(isOut ? 'a data centre is evacuated' : 'a data centre is taken back', { dataCentre, offset })
    this.changed()
  }
}
