/** Polls some of the other entries, so that callers are sent only to entries that answer and are not stopping. */
import type { LocatableEntry } from '../../core/locate.js'
import type { InstanceDirectory } from '../../nodes/instance-directory.js'
import { ControlClient } from '../../transports/control.js'
import type { NodeDescription } from '../../types/messages.js'
import type { ListedInstance } from '../../types/platform.js'
import type { EntrySettings } from '../../types/settings.js'
import { runInBackground } from '../../utils/background.js'
import { waitUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import { rankMembers } from '../../utils/rendezvous.js'

const log = logFor('entry')
const describeTimeoutMilliseconds = 500
/** Polled entries of all data centres. */
const maximumPeers = 12
/** Polled entries of this entry's data centre. */
const maximumSameDataCentrePeers = 8

/** Interval between two polls of a peer. */
export const peerPollIntervalMilliseconds = 1000

interface Peer {
  readonly listed: ListedInstance
  readonly client: ControlClient
  /** Last answer; undefined before the first and after a failed poll. */
  description: NodeDescription | undefined
}

/** The polled entries; besides the local entry, callers are sent only to these. */
export class Peers {
  private readonly peers = new Map<string, Peer>()
  private readonly stopping = new AbortController()

  constructor (private readonly settings: EntrySettings, private readonly directory: InstanceDirectory) {
    directory.onChange(() => { this.reconcile() })
  }

  start (): void {
    runInBackground(this.pollAll(), log, 'poll the peers')
  }

  stop (): void {
    this.stopping.abort()
    for (const peer of this.peers.values()) peer.client.close()
  }

  /** Peers that answered the last poll. */
  get responsive (): readonly LocatableEntry[] {
    return [...this.peers.values()].flatMap(({ listed, description }) => {
      if (description === undefined) return []
      const { address, dataCentre, region, state } = listed
      return [{ address, dataCentre, region, leaving: state === 'leaving' || description.leaving, inFlight: description.inFlight }]
    })
  }

  private reconcile (): void {
    const chosen = choosePeers(this.directory.instances, this.settings)
    const byAddress = new Map(chosen.map(listed => [listed.controlAddress, listed]))
    for (const [address, peer] of [...this.peers]) {
      if (byAddress.has(address)) continue
      peer.client.close()
      this.peers.delete(address)
    }
    for (const listed of chosen) {
      const known = this.peers.get(listed.controlAddress)
      const client = known?.client ?? new ControlClient(listed.controlAddress)
      this.peers.set(listed.controlAddress, { listed, client, description: known?.description })
      if (known === undefined) this.pollPeer(listed.controlAddress)
    }
  }

  private async pollAll (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await waitUntil(Date.now() + peerPollIntervalMilliseconds, this.stopping.signal)
      for (const address of this.peers.keys()) this.pollPeer(address)
    }
  }

  private pollPeer (address: string): void {
    const client = this.peers.get(address)?.client
    if (client === undefined) return
    const update = (description: NodeDescription | undefined): void => {
      const peer = this.peers.get(address)
      if (peer !== undefined && peer.client === client) peer.description = description
    }
    client.describe(Date.now() + describeTimeoutMilliseconds).then(update, () => { update(undefined) })
  }
}

/** Entries of the same data centre first, then some of others, both in the order of rendezvous hashing. */
function choosePeers (instances: readonly ListedInstance[], settings: EntrySettings): readonly ListedInstance[] {
  const entries = instances.filter(({ role, instance }) => role === 'entry' && instance !== settings.instance)
  const byInstance = new Map(entries.map(entry => [entry.instance, entry]))
  const ranked = rankMembers(settings.instance, [...byInstance.keys()]).flatMap(instance => byInstance.get(instance) ?? [])
  const sameDataCentre = ranked.filter(({ dataCentre }) => dataCentre === settings.dataCentre).slice(0, maximumSameDataCentrePeers)
  const others = ranked.filter(entry => !sameDataCentre.includes(entry)).slice(0, maximumPeers - sameDataCentre.length)
  return [...sameDataCentre, ...others]
}
