/** Who reads the log and who follows whom: a tree in each data centre, the same on every node that sees the same list. */
import type { ListedInstance } from '../../types/platform.js'
import { rankMembers } from '../../utils/rendezvous.js'

/** Nodes of each data centre that read the log. */
export const readersPerDataCentre = 2
/** Nodes that follow one node of the tree at most. */
export const childrenPerNode = 8
/** Nodes that one node of the tree follows. */
export const parentsPerNode = 2

/** Place of a node in the fan-out. */
export interface FanOutPlacement {
  /** Whether the node reads the log while others confirm it too. */
  readonly isReader: boolean
  /** Position in the order of the data centre; the first ones read the log. */
  readonly position: number
  /** Nodes of the same data centre to follow. */
  readonly parents: readonly ListedInstance[]
  /** Entries of other data centres to follow: a reader always, any other node when its parents fail. */
  readonly backups: readonly ListedInstance[]
  /** Whether the list has other live nodes in the same data centre. */
  readonly hasLocalPeers: boolean
}

/** The node that is placed. */
export interface PlacedNode {
  readonly instance: string
  readonly dataCentre: string
}

/** Places a node; one that is not listed as live becomes a leaf. `logDataCentre` is empty while no configuration is known. */
export function placeNode (instances: readonly ListedInstance[], self: PlacedNode, logDataCentre: string): FanOutPlacement {
  const live = instances.filter(({ state }) => state === 'live')
  const neighbours = live.filter(({ dataCentre }) => dataCentre === self.dataCentre)
  const members = orderMembers(neighbours, self.dataCentre)
  const listed = members.findIndex(({ instance }) => instance === self.instance)
  const position = listed === -1 ? members.length : listed
  const isReader = listed !== -1 && position < readersPerDataCentre
  return {
    isReader,
    position,
    parents: isReader ? members.slice(0, readersPerDataCentre).filter(({ instance }) => instance !== self.instance) : parentsOf(members, position),
    backups: backupsOf(live, self, logDataCentre),
    hasLocalPeers: neighbours.some(({ instance }) => instance !== self.instance)
  }
}

/** Entries come first, so that they are the readers and the inner nodes. */
function orderMembers (neighbours: readonly ListedInstance[], dataCentre: string): readonly ListedInstance[] {
  const byName = new Map(neighbours.map(listed => [listed.instance, listed]))
  const ranked = (role: ListedInstance['role']): readonly ListedInstance[] => {
    const names = neighbours.filter(listed => listed.role === role).map(({ instance }) => instance)
    return rankMembers(`configuration/${dataCentre}`, names).flatMap(name => byName.get(name) ?? [])
  }
  return [...ranked('entry'), ...ranked('upstream')]
}

/** Each layer is `childrenPerNode / parentsPerNode` times as large as the one above it. */
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
  const chosen = Array.from({ length: parentsPerNode }, (_, turn) => members[above.start + (index + turn) % above.size])
  return chosen.flatMap(parent => parent ?? [])
}

/** One entry of the log's data centre and one of a third, spread by the node's own name. */
function backupsOf (live: readonly ListedInstance[], self: PlacedNode, logDataCentre: string): readonly ListedInstance[] {
  const elsewhere = live.filter(({ role, dataCentre }) => role === 'entry' && dataCentre !== self.dataCentre)
  const first = (from: readonly ListedInstance[]): readonly ListedInstance[] => {
    const name = rankMembers(self.instance, from.map(({ instance }) => instance))[0]
    return from.filter(({ instance }) => instance === name)
  }
  const besideLog = first(elsewhere.filter(({ dataCentre }) => dataCentre === logDataCentre))
  const others = first(elsewhere.filter(({ dataCentre }) => dataCentre !== logDataCentre))
  return [...besideLog, ...others]
}
