/** Stand-in of the platform's list of live and leaving instances; it answers with the list of a while ago. */
import type { Server } from 'node:http'
import type { InstanceList, ListedInstance } from '../src/types/platform.js'
import { listenHttp, readJson } from './http.js'

interface Version { readonly at: number, readonly list: InstanceList }

/** The list; the control port takes `PUT` of all instances. */
export class InstancesStandIn {
  private readonly versions: Version[] = [{ at: 0, list: { version: 0, instances: [] } }]

  constructor (private readonly lagMilliseconds = 500) {}

  async listen (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, () => this.lagging())
  }

  async listenControl (address: string): Promise<{ readonly server: Server, readonly port: number }> {
    return await listenHttp(address, async request => {
      if (request.method === 'PUT') this.set(await readJson<ListedInstance[]>(request))
      return this.latest().list
    })
  }

  /** Replaces the list; callers see it after the lag. */
  set (instances: readonly ListedInstance[]): void {
    this.versions.push({ at: Date.now(), list: { version: this.latest().list.version + 1, instances } })
  }

  private latest (): Version {
    const version = this.versions.at(-1)
    if (version === undefined) throw new Error('the list has no version')
    return version
  }

  private lagging (): InstanceList {
    const visible = Date.now() - this.lagMilliseconds
    const seen = this.versions.findLast(version => version.at <= visible) ?? this.versions[0]
    return seen?.list ?? { version: 0, instances: [] }
  }
}
