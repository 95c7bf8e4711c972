/** Fan-out of the configuration: which nodes read the log and which nodes the others follow. Nodes with the same instance list compute the same tree for a data centre. */
import type { ListedInstance } from '../../types/platform.js'
import { rankMembers } from '../../utils/rendezvous.js'

/** Number of nodes in each data centre that read the log. */
export const readersPerDataCentre = 2
/** Maximum number of nodes that follow one node of the tree. */
export const childrenPerNode = 8
/** Number of nodes that each node of the tree follows. */
export const parentsPerNode = 2

/** Position of a node in the fan-out. */
export interface FanOutPlacement {
  /** Whether the node reads the log permanently; other nodes read it only when their peers fail. */
  readonly isReader: boolean
  /** Rank among the nodes of the data centre; the first `readersPerDataCentre` read the log. */
  readonly position: number
  /** Nodes of the same data centre to follow. */
  readonly parents: readonly ListedInstance[]
  /** Entries of other data centres to follow: always for a reader, otherwise when the parents fail. */
  readonly backups: readonly ListedInstance[]
  /** Whether the instance list has other live nodes in the same data centre. */
  readonly hasLocalPeers: boolean
}

/** Node whose position is computed. */
export interface PlacedNode {
  readonly instance: string
  readonly dataCentre: string
}

/** Computes the position of a node; a node that is not listed as live becomes a leaf. `logDataCentre` is empty before the first configuration. */
export function placeNode (instances: readonly ListedInstance[], self: PlacedNode, logDataCentre: string): FanOutPlacement {
  const live = instances.filter(({ state }) => state === 'live')
  const localNodes = live.filter(({ dataCentre }) => dataCentre === self.dataCentre)
  const members = orderMembers(localNodes, self.dataCentre)
  const listed = members.findIndex(({ instance }) => instance === self.instance)
  const position = listed === -1 ? members.length : listed
  const isReader = listed !== -1 && position < readersPerDataCentre
  return {
    isReader,
    position,
    parents: isReader ? members.slice(0, readersPerDataCentre).filter(({ instance }) => instance !== self.instance) : parentsOf(members, position),
    backups: backupsOf(live, self, logDataCentre),
    hasLocalPeers: localNodes.some(({ instance }) => instance !== self.instance)
  }
}

/** Nodes of a data centre in rank order; entries come first, so that they become the readers and the inner nodes. */
function orderMembers (localNodes: readonly ListedInstance[], dataCentre: string): readonly ListedInstance[] {
  const byName = new Map(localNodes.map(listed => [listed.instance, listed]))
  const ranked = (role: ListedInstance['role']): readonly ListedInstance[] => {
    const names = localNodes.filter(listed => listed.role === role).map(({ instance }) => instance)
    return rankMembers(`configuration/${dataCentre}`, names).flatMap(name => byName.get(name) ?? [])
  }
  return [...ranked('entry'), ...ranked('upstream')]
}

/** Nodes of the layer above a position; each layer is `childrenPerNode / parentsPerNode` times as large as the one above it. */
function parentsOf (members: readonly ListedInstance[], position: number): readonly ListedInstance[] {
  let above = { start: 0, size: readersPerDataCentre }
  let start = readersPerDataCentre
  let size = readersPerDataCentre * childrenPerNode / parentsPerNode
  while (position >= start + size) {
    above = { start, size }
    start += size
    size *= childrenPerNode / parentsPerNode
  }
  const index = position - start
  const chosen = Array.from({ length: parentsPerNode }, (_, offset) => members[above.start + (index + offset) % above.size])
  return chosen.flatMap(parent => parent ?? [])
}

/** One entry of the log's data centre and one of any other, selected by rendezvous hashing on the node's name. */
function backupsOf (live: readonly ListedInstance[], self: PlacedNode, logDataCentre: string): readonly ListedInstance[] {
  const elsewhere = live.filter(({ role, dataCentre }) => role === 'entry' && dataCentre !== self.dataCentre)
  const highestRanked = (from: readonly ListedInstance[]): readonly ListedInstance[] => {
    const name = rankMembers(self.instance, from.map(({ instance }) => instance))[0]
    return from.filter(({ instance }) => instance === name)
  }
  const inLogDataCentre = highestRanked(elsewhere.filter(({ dataCentre }) => dataCentre === logDataCentre))
  const others = highestRanked(elsewhere.filter(({ dataCentre }) => dataCentre !== logDataCentre))
  return [...inLogDataCentre, ...others]
}
