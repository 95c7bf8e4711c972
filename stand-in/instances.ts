/** Stand-in of the platform's list of live and leaving instances; its answers lag behind the current list. */
import type { Server } from 'node:http'
import type { InstanceList, ListedInstance } from '../src/types/platform.js'
import { listenHttp, readJson, sendJson } from './http.js'

/** Faults, set through the control port. */
export interface InstanceFaults {
  /** Whether every request is answered with status 503. */
  outage: boolean
  /** Milliseconds after which a new list is visible. */
  lagMilliseconds: number
}

interface ListVersion { readonly at: number, readonly list: InstanceList }

/** The stand-in list; at the control port, `PUT` replaces all instances and `POST` sets faults. */
export class InstancesStandIn {
  private readonly versions: ListVersion[] = [{ at: 0, list: { version: 0, instances: [] } }]

  readonly faults: InstanceFaults

  constructor (lagMilliseconds = 500) {
    this.faults = { outage: false, lagMilliseconds }
  }

  async listen (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, (request, response) => {
      if (this.faults.outage) {
        sendJson(response, 503, { error: 'the list is out' })
        return undefined
      }
      const list = this.visibleList()
      const tag = `"${list.version}"`
      response.setHeader('etag', tag)
      if (request.headers['if-none-match'] !== tag) return list
      response.writeHead(304)
      response.end()
      return undefined
    })
  }

  async listenControl (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async request => {
      if (request.method === 'PUT') this.set(await readJson<ListedInstance[]>(request))
      if (request.method === 'POST') Object.assign(this.faults, await readJson<Partial<InstanceFaults>>(request))
      return this.latest().list
    })
  }

  /** Replaces the list; callers receive it after `lagMilliseconds`. */
  set (instances: readonly ListedInstance[]): void {
    this.versions.push({ at: Date.now(), list: { version: this.latest().list.version + 1, instances } })
  }

  private latest (): ListVersion {
    const version = this.versions.at(-1)
    if (version === undefined) throw new Error('the list has no version')
    return version
  }

  private visibleList (): InstanceList {
    const visibleUntil = Date.now() - this.faults.lagMilliseconds
    const version = this.versions.findLast(version => version.at <= visibleUntil) ?? this.versions[0]
    return version?.list ?? { version: 0, instances: [] }
  }
}
