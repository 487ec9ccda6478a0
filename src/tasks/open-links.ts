import type { Link } from '../protocol/index.js'

/** The open links of a box by the peer's name, whichever side opened them. */
export class OpenLinks<Message> {
  #links = new Map<string, Set<Link<Message>>>()

  get peers (): readonly string[] { return [...this.#links.keys()] }

  add (link: Link<Message>): void {
    const links = this.#links.get(link.peer) ?? new Set()
    links.add(link)
    this.#links.set(link.peer, links)
  }

  remove (link: Link<Message>): void {
    const links = this.#links.get(link.peer)
    links?.delete(link)
    if (links?.size === 0) this.#links.delete(link.peer)
  }

  /** An open link to the peer, if any. */
  find (peer: string): Link<Message> | undefined {
    for (const link of this.#links.get(peer) ?? []) {
      if (link.isOpen) return link
    }
    return undefined
  }
}
